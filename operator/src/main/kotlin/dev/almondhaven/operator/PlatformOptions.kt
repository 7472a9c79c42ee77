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

/** Where the platform's object API is, and how often to try it. */
internal class PlatformOptions : OptionGroup(name = "Platform") {
    private val platform by option(
        help = "Address of the object API; by default from ALMONDHAVEN_PLATFORM, or else $DEFAULT_PLATFORM.",
        envvar = "ALMONDHAVEN_PLATFORM",
    ).default(DEFAULT_PLATFORM)
    private val attempts by option(help = "Attempts before the command gives up, with random waits between them.")
        .int()
        .restrictTo(1..MAXIMUM_ATTEMPTS)
        .default(DEFAULT_ATTEMPTS)

    /** The object API. */
    val objects: ObjectStore by lazy { HttpObjectStore(URI(platform)) }

    /** The store of configurations, which retries as the options say. */
    val store: ConfigurationStore by lazy { ConfigurationStore(objects, ::pause) }

    /** The catalogue in force; fails the command when the platform doesn't answer. */
    fun catalogue(): Catalogue =
        store.head().fold({ throw unavailable("$it") }, { it?.head?.catalogue ?: Catalogue.EMPTY })

    /** The whole audit trail; fails the command when the platform doesn't answer. */
    fun auditReport(): AuditReport = AuditTrail(objects).read().fold({ throw unavailable("$it") }, { it })

    private fun pause(attempt: Int): Boolean {
        if (attempt >= attempts) return false
        TimeUnit.NANOSECONDS.sleep(backoff.delay(attempt, random).inWholeNanoseconds)
        return true
    }

    private companion object {
        const val DEFAULT_PLATFORM = "http://127.0.0.1:9000"
        const val DEFAULT_ATTEMPTS = 8
        const val MAXIMUM_ATTEMPTS = 100
        val backoff = FullJitterBackoff(base = 200.milliseconds, cap = 5.seconds)
        val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create()
    }
}
