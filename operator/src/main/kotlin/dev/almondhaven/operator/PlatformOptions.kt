package dev.almondhaven.operator

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.decision.retry.FullJitterBackoff
import dev.almondhaven.store.AuditReport
import dev.almondhaven.store.AuditTrail
import dev.almondhaven.store.ConfigurationStore
import dev.almondhaven.store.HttpObjectStore
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.PublishRetryPolicy
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.net.URI
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Options for the address of the platform's object API and for retries. */
internal class PlatformOptions : OptionGroup(name = "Platform") {
    private val platform by option(
        help = "Address of the object API; by default from ALMONDHAVEN_PLATFORM, or else $DEFAULT_PLATFORM.",
        envvar = "ALMONDHAVEN_PLATFORM",
    ).default(DEFAULT_PLATFORM)
    private val attempts by option(help = "Maximum number of attempts, with randomised backoff between them.")
        .int()
        .restrictTo(1..MAX_ATTEMPTS)
        .default(DEFAULT_ATTEMPTS)

    /** Client of the platform's object API. */
    val objects: ObjectStore by lazy { HttpObjectStore(URI(platform)) }

    /** The configuration store, which makes up to `--attempts` attempts. */
    val store: ConfigurationStore by lazy { ConfigurationStore(objects, ::waitBeforeRetry) }

    /** The catalogue in force; fails the command if the platform doesn't respond. */
    fun catalogue(): Catalogue =
        store.head().fold({ throw unavailable("$it") }, { it?.head?.catalogue ?: Catalogue.EMPTY })

    /** The whole audit trail; fails the command if the platform doesn't respond. */
    fun auditReport(): AuditReport = AuditTrail(objects).read().fold({ throw unavailable("$it") }, { it })

    /** Waits after failed attempt number [attempt]; returns false if no attempt is left. */
    private fun waitBeforeRetry(attempt: Int): Boolean {
        if (attempt >= attempts) return false
        TimeUnit.NANOSECONDS.sleep(backoff.delay(attempt, random).inWholeNanoseconds)
        return true
    }

    private companion object {
        const val DEFAULT_PLATFORM = "http://127.0.0.1:9000"
        const val DEFAULT_ATTEMPTS = 8
        const val MAX_ATTEMPTS = 100
        val backoff = FullJitterBackoff(base = 200.milliseconds, cap = 5.seconds)
        val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create()
    }
}
