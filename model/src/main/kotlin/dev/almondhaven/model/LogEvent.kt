package dev.almondhaven.model

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/**
 * Numbered log events. `docs/EVENTS.md` holds the same catalogue; a test compares them.
 *
 * Blocks of numbers: 1xxx process, 2xxx configuration and membership, 3xxx model choice and roll-outs, 4xxx endpoints
 * and answers, 5xxx claims, billing, platform and engine orders.
 *
 * @property number stable number of the event.
 * @property level severity it is logged with.
 * @property meaning one sentence for the catalogue.
 */
public enum class LogEvent(
    public val number: Int,
    public val level: Level,
    public val meaning: String,
) {
    ROUTER_STARTED(1001, Level.INFO, "The router listens."),
    ROUTER_STOPPING(1002, Level.INFO, "The router drains and stops."),
    ROUTER_STOPPED(1003, Level.INFO, "The router has stopped."),
    DUTY_FAILED(1004, Level.ERROR, "A duty thread met an unexpected error and goes on."),
    REQUEST_FAILED_UNEXPECTEDLY(1005, Level.ERROR, "A filter threw; the caller got an error."),

    CONFIGURATION_IN_FORCE(2001, Level.INFO, "A newer configuration came in force on this router."),
    CONFIGURATION_STALE_READ(2002, Level.WARN, "A read returned an older generation than held; it was ignored."),
    PLATFORM_READ_FAILED(2003, Level.WARN, "The platform's object API did not answer a read."),

    PEER_MESSAGE_REFUSED(2201, Level.WARN, "A peer message had a wrong signature, path or method."),
    PEER_MESSAGE_BAD(2202, Level.WARN, "A peer message could not be read."),
    MEMBER_JOINED(2203, Level.INFO, "A router came into this router's view of the fleet."),
    MEMBER_LEFT(2204, Level.INFO, "A router left this router's view of the fleet."),
    CONFIGURATION_STALE(2205, Level.WARN, "Nobody within reach has confirmed the configuration with the platform."),
    CONFIGURATION_CONFIRMED(2206, Level.INFO, "The configuration is confirmed by the platform again."),
    CONFIGURATION_DIVERGENT(2207, Level.ERROR, "Another catalogue has the generation in force; it was ignored."),
    VERSION_QUARANTINED(3001, Level.WARN, "A version turned out bad and gets no new sessions; the evidence is given."),
    RATINGS_UNAVAILABLE(3002, Level.WARN, "The rating service does not answer; choices go on with what is known."),
    RATINGS_DISTRUSTED(3003, Level.WARN, "Most versions' ratings fell at once; those ratings are left out."),

    SESSION_MOVED(3101, Level.INFO, "A session moved to the successor of its withdrawn version."),
    SESSION_TOKEN_REFUSED(3102, Level.WARN, "A session token did not verify."),
    SESSION_HOLDER_SILENT(3103, Level.WARN, "No holder of a session's version answered."),

    ENDPOINT_ANSWER_BAD(4001, Level.WARN, "An endpoint's answer failed or could not be read."),
    ENDPOINT_EJECTED(4002, Level.WARN, "An endpoint failed repeatedly and gets no requests for a while."),
    ENDPOINT_COLD(4003, Level.INFO, "An endpoint is cold; it is ramped from a small limit."),
    ANSWER_RESUMED(4004, Level.INFO, "A streamed answer goes on at another endpoint."),

    CLAIM_WRITE_UNSETTLED(5001, Level.WARN, "A read or write of claims failed; it is tried again."),
    CLAIM_OPERATION_DROPPED(5002, Level.WARN, "Too many claim operations wait; one was not taken."),
    CLAIM_OUTCOME_UNKNOWN(5003, Level.WARN, "A non-idempotent call got an error whose outcome is unknown."),
    CLAIM_SHARDS_DELETED(5004, Level.INFO, "Claims from before the retention window were deleted."),

    BILLING_OVERFLOWED(5101, Level.ERROR, "A billing record found no room and is lost."),
    BILLING_WRITE_FAILED(5102, Level.WARN, "Billing records could not be written to the platform; they are kept."),
    BILLING_ORPHANS_TAKEN(5103, Level.INFO, "The records of a router that is gone are stored from their copy."),
    BILLING_LEFT_UNSTORED(5104, Level.WARN, "The router stops with records that only a peer's copy holds."),

    ENGINE_LEASE_HELD(5401, Level.INFO, "This router gives the orders to the engines of a failure domain."),
    ENGINE_LEASE_ENDED(5402, Level.INFO, "This router no longer gives orders to the engines of a failure domain."),
    ENGINE_ORDER_TAKEN(5403, Level.INFO, "An engine took an order to load or unload versions."),
    ENGINE_ORDER_FAILED(5404, Level.WARN, "An engine refused an order or did not answer."),
    ;

    /** Logs this event to [logger] with [detail], which ought to be `name=value` pairs. */
    public fun log(
        logger: KLogger,
        cause: Throwable? = null,
        detail: () -> String = { "" },
    ): Unit =
        logger.at(level) {
            message = "$name ${detail()}".trim()
            this.cause = cause
            payload = mapOf("event" to number)
        }
}
