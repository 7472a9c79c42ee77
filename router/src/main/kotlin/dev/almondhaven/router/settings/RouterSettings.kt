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
 * Where this process stands.
 *
 * @property failureDomain failure domain of the VM it runs on.
 * @property listen `ip:port` for callers.
 */
@Serializable
public data class ProcessSettings(
    public val failureDomain: FailureDomainId,
    public val listen: String,
)

/**
 * How to reach the platform.
 *
 * @property address base address of the object API.
 * @property callTimeout longest wait for one call.
 * @property watchWait longest wait of one watch.
 * @property writesPerSecond writes that all routers together may make; each takes its share.
 * @property readsPerSecond reads and watches that all routers together may make; each takes its share.
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
 * Bounds on callers' requests.
 *
 * @property bodyBytes largest request body.
 * @property inFlight requests in flight at once in this process.
 * @property requestTimeout deadline of a request that names none.
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
 * Settings of one router process, read from YAML once at start; `examples/router.yaml` documents every field.
 */
@Serializable
public data class RouterSettings(
    public val process: ProcessSettings,
    public val platform: PlatformSettings,
    public val requests: RequestSettings = RequestSettings(),
    public val sessions: SessionSettings = SessionSettings(),
    public val endpoints: EndpointSettings = EndpointSettings(),
    public val claims: ClaimSettings = ClaimSettings(),
    public val billing: BillingSettings = BillingSettings(),
    public val peers: PeerSettings? = null,
    public val engineOrders: EngineOrderSettings = EngineOrderSettings(),
    public val choice: ChoiceSettings = ChoiceSettings(),
) {
    /** Everything that is wrong with the values themselves. */
    internal fun problems(): List<Problem> =
        buildList {
            if (!HOST_AND_PORT.matches(process.listen)) {
                add(Problem("process.listen", process.listen, "an IP number and port, such as 10.0.0.1:8080"))
            }
            val scheme = runCatching { URI(platform.address).scheme }.getOrNull()
            if (scheme != "http" && scheme != "https") {
                add(Problem("platform.address", platform.address, "an http or https address"))
            }
            if (requests.bodyBytes <= 0) add(Problem("requests.bodyBytes", "${requests.bodyBytes}", "1 or more"))
            if (requests.inFlight <= 0) add(Problem("requests.inFlight", "${requests.inFlight}", "1 or more"))
            addAll(choice.problems())
            addAll(positive("platform.callTimeout", platform.callTimeout))
            addAll(positive("platform.watchWait", platform.watchWait))
            addAll(positive("platform.writesPerSecond", platform.writesPerSecond))
            addAll(positive("platform.readsPerSecond", platform.readsPerSecond))
            addAll(positive("billing.writeInterval", billing.writeInterval))
            if (billing.records <= 0) add(Problem("billing.records", "${billing.records}", "1 or more"))
            addAll(positive("claims.writeInterval", claims.writeInterval))
            addAll(positive("claims.dispatchBound", claims.dispatchBound))
            addAll(positive("claims.runLimit", claims.runLimit))
            addAll(positive("claims.relayTimeout", claims.relayTimeout))
            addAll(positive("requests.requestTimeout", requests.requestTimeout))
            addAll(sessions.problems())
            addAll(endpoints.problems())
            peers?.let { addAll(it.problems()) }
            addAll(engineOrders.problems())
        }

    public companion object {
        internal val HOST_AND_PORT = Regex("""(\d{1,3}\.){3}\d{1,3}:\d{1,5}|\[[0-9a-fA-F:]+]:\d{1,5}""")

        internal fun positive(
            path: String,
            value: Double,
        ): List<Problem> = if (value > 0) emptyList() else listOf(Problem(path, "$value", "more than 0"))

        internal fun positive(
            path: String,
            value: Duration,
        ): List<Problem> = if (value.isPositive()) emptyList() else listOf(Problem(path, "$value", "more than 0s"))

        /** Parses and checks settings; the left side lists every problem. */
        public fun parse(text: String): Either<List<Problem>, RouterSettings> =
            YamlDocument.read(serializer(), text).flatMap { settings ->
                val problems = settings.problems()
                if (problems.isEmpty()) settings.right() else problems.left()
            }
    }
}
