package dev.almondhaven.router.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import dev.almondhaven.settings.YamlDocument
import kotlinx.serialization.Serializable
import java.net.URI
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the router process.
 *
 * @property failureDomain failure domain of the VM on which the process runs.
 * @property listen `ip:port` on which the router listens for callers.
 */
@Serializable
public data class ProcessSettings(
    public val failureDomain: FailureDomainId,
    public val listen: String,
)

/**
 * Settings of calls to the platform.
 *
 * @property address base URL of the object API.
 * @property callTimeout timeout of a call.
 * @property watchWait longest time that the platform may hold a watch request open.
 * @property writesPerSecond rate limit for writes by all routers together; each router uses an equal share.
 * @property readsPerSecond rate limit for reads and watches by all routers together; each router uses an equal share.
 */
@Serializable
public data class PlatformSettings(
    public val address: String,
    @Serializable(with = DurationText::class) public val callTimeout: Duration = 2.seconds,
    @Serializable(with = DurationText::class) public val watchWait: Duration = 20.seconds,
    public val writesPerSecond: Double = 200.0,
    public val readsPerSecond: Double = 1_500.0,
)

/**
 * Limits on the requests of callers.
 *
 * @property bodyBytes maximum size of a request body.
 * @property inFlight maximum number of requests in flight in this process.
 * @property requestTimeout time until the deadline of a request that doesn't set a shorter one.
 */
@Serializable
public data class RequestSettings(
    public val bodyBytes: Long = DEFAULT_BODY_BYTES,
    public val inFlight: Int = DEFAULT_IN_FLIGHT,
    @Serializable(with = DurationText::class) public val requestTimeout: Duration = 60.seconds,
) {
    private companion object {
        const val DEFAULT_BODY_BYTES = 8_000_000L
        const val DEFAULT_IN_FLIGHT = 4_096
    }
}

/**
 * Settings of a router, read from a YAML file at startup; `examples/router.yaml` documents every field.
 */
@Serializable
public data class RouterSettings(
    public val process: ProcessSettings,
    public val platform: PlatformSettings,
    public val requests: RequestSettings = RequestSettings(),
    public val sessions: SessionSettings = SessionSettings(),
    public val endpoints: EndpointSettings = EndpointSettings(),
    public val drain: DrainSettings = DrainSettings(),
    public val claims: ClaimSettings = ClaimSettings(),
    public val billing: BillingSettings = BillingSettings(),
    public val peers: PeerSettings? = null,
    public val engineOrders: EngineOrderSettings = EngineOrderSettings(),
    public val choice: ChoiceSettings = ChoiceSettings(),
) {
    /** Validates all settings and returns every problem found. */
    internal fun validate(): List<Problem> =
        buildList {
            if (!IP_AND_PORT.matches(process.listen)) {
                add(Problem("process.listen", process.listen, "an IP number and port, such as 10.0.0.1:8080"))
            }
            val scheme = runCatching { URI(platform.address).scheme }.getOrNull()
            if (scheme != "http" && scheme != "https") {
                add(Problem("platform.address", platform.address, "an http or https address"))
            }
            if (requests.bodyBytes <= 0) add(Problem("requests.bodyBytes", "${requests.bodyBytes}", "1 or more"))
            if (requests.inFlight <= 0) add(Problem("requests.inFlight", "${requests.inFlight}", "1 or more"))
            addAll(choice.validate())
            addAll(validatePositive("platform.callTimeout", platform.callTimeout))
            addAll(validatePositive("platform.watchWait", platform.watchWait))
            addAll(validatePositive("platform.writesPerSecond", platform.writesPerSecond))
            addAll(validatePositive("platform.readsPerSecond", platform.readsPerSecond))
            addAll(validatePositive("billing.writeInterval", billing.writeInterval))
            if (billing.records <= 0) add(Problem("billing.records", "${billing.records}", "1 or more"))
            addAll(validatePositive("claims.writeInterval", claims.writeInterval))
            addAll(validatePositive("claims.dispatchBound", claims.dispatchBound))
            addAll(validatePositive("claims.runLimit", claims.runLimit))
            addAll(validatePositive("claims.relayTimeout", claims.relayTimeout))
            addAll(validatePositive("requests.requestTimeout", requests.requestTimeout))
            addAll(sessions.validate())
            addAll(endpoints.validate())
            addAll(drain.validate(requests.requestTimeout))
            peers?.let { addAll(it.validate()) }
            addAll(engineOrders.validate())
        }

    public companion object {
        internal val IP_AND_PORT = Regex("""(\d{1,3}\.){3}\d{1,3}:\d{1,5}|\[[0-9a-fA-F:]+]:\d{1,5}""")

        internal fun validatePositive(
            path: String,
            value: Double,
        ): List<Problem> = if (value > 0) emptyList() else listOf(Problem(path, "$value", "more than 0"))

        internal fun validatePositive(
            path: String,
            value: Duration,
        ): List<Problem> = if (value.isPositive()) emptyList() else listOf(Problem(path, "$value", "more than 0s"))

        /** Parses and validates YAML settings; the left side lists every problem found. */
        public fun parse(text: String): Either<List<Problem>, RouterSettings> =
            YamlDocument.read(serializer(), text).flatMap { settings ->
                val problems = settings.validate()
                if (problems.isEmpty()) settings.right() else problems.left()
            }
    }
}
