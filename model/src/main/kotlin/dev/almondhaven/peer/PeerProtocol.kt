package dev.almondhaven.peer

import kotlinx.serialization.json.Json

/**
 * What every message of the peer protocol shares: HTTP with JSON below [PATH_PREFIX], signed as [PeerKeyRing] says.
 * A field that a receiver doesn't know is skipped, so that routers of two releases understand each other; a change that
 * an older router must not skip takes a new prefix.
 */
public object PeerProtocol {
    /** Begins the path of every message. */
    public const val PATH_PREFIX: String = "/peer/v1/"

    /** Header that carries the signature of a request or of an answer. */
    public const val SIGNATURE_HEADER: String = "x-almondhaven-signature"

    /** Path, below the prefix, at which a router tells its [PeerStatus] to a `GET`. */
    public const val STATUS: String = "status"

    /** Path, below the prefix, that takes a [ConfigurationPush] and answers with a [ConfigurationHeld]. */
    public const val CONFIGURATION: String = "configuration"

    /** Path, below the prefix, that takes a [ConfigurationRequest] and answers with a [ConfigurationAnswer]. */
    public const val CONFIGURATION_REQUEST: String = "configuration-request"

    /** Codec of the messages. */
    public val json: Json = Json { ignoreUnknownKeys = true }
}
