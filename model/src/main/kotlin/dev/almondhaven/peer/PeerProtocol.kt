package dev.almondhaven.peer

import kotlinx.serialization.json.Json

/**
 * Constants shared by all messages of the peer protocol: HTTP with JSON below [PATH_PREFIX], signed by [PeerKeyRing].
 * Receivers skip unknown fields, so that routers of different releases interoperate; a change that an older router must
 * not skip needs a new prefix.
 */
public object PeerProtocol {
    /** Path prefix of every message. */
    public const val PATH_PREFIX: String = "/peer/v1/"

    /** Header that carries the signature of a request or a response. */
    public const val SIGNATURE_HEADER: String = "x-almondhaven-signature"

    /** Path, below the prefix, at which a router returns its [PeerStatus] to a `GET`. */
    public const val STATUS: String = "status"

    /** Path, below the prefix, that takes a [ConfigurationPush] and answers with a [ConfigurationHeld]. */
    public const val CONFIGURATION: String = "configuration"

    /** Path, below the prefix, that takes a [ConfigurationRequest] and answers with a [ConfigurationAnswer]. */
    public const val CONFIGURATION_REQUEST: String = "configuration-request"

    /** JSON format of the messages. */
    public val json: Json = Json { ignoreUnknownKeys = true }
}
