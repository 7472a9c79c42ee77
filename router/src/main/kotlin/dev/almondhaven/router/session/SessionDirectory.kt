package dev.almondhaven.router.session

import com.google.common.cache.CacheBuilder
import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import dev.almondhaven.router.settings.SessionSettings
import java.util.concurrent.CompletableFuture
import kotlin.time.toJavaDuration

/**
 * Remembers the version of sessions whose callers send an id but no token. The directory is soft state and may lose
 * entries, so guarantees for sessions rely on tokens. No function blocks.
 */
public interface SessionDirectory {
    /** Looks up the pin of [key]; null if no router that responded knows one. */
    public fun lookUp(key: SessionKey): CompletableFuture<SessionPin?>

    /** Looks up the pin of [key] as [lookUp] does, but asks its holders even if this process remembers a pin. */
    public fun refresh(key: SessionKey): CompletableFuture<SessionPin?>

    /** Remembers [pin] and returns the pin that the session keeps, which is the oldest one known. */
    public fun remember(pin: SessionPin): CompletableFuture<SessionPin>

    /** Replaces [from] with [pin], because the session moved off a withdrawn version. */
    public fun move(
        from: SessionPin,
        pin: SessionPin,
    )
}

/** The session directory of one process, bounded in size; sessions without requests expire. */
public class LocalSessionDirectory(
    settings: SessionSettings,
) : SessionDirectory {
    private val pins =
        CacheBuilder
            .newBuilder()
            .maximumSize(settings.directoryEntries)
            .expireAfterAccess(settings.directoryAge.toJavaDuration())
            .build<SessionKey, SessionPin>()

    /** Number of sessions remembered. */
    public val size: Long get() = pins.size()

    /** The pin of [key] that this process remembers, if any. */
    public fun pinOrNull(key: SessionKey): SessionPin? = pins.getIfPresent(key)

    /** Stores [pin] unless the remembered pin takes precedence by [SessionPin.merge]; returns the pin that is kept. */
    public fun putIfPreferred(pin: SessionPin): SessionPin =
        checkNotNull(pins.asMap().merge(pin.key, pin, SessionPin::merge))

    /** Replaces the remembered pin with [pin] if there is none or it has the version of [from]. */
    public fun replaceIfSameVersion(
        from: SessionPin,
        pin: SessionPin,
    ) {
        pins.asMap().compute(pin.key) { _, current ->
            if (current == null || current.version == from.version) pin else current
        }
    }

    override fun lookUp(key: SessionKey): CompletableFuture<SessionPin?> =
        CompletableFuture.completedFuture(pinOrNull(key))

    override fun refresh(key: SessionKey): CompletableFuture<SessionPin?> = lookUp(key)

    override fun remember(pin: SessionPin): CompletableFuture<SessionPin> =
        CompletableFuture.completedFuture(putIfPreferred(pin))

    override fun move(
        from: SessionPin,
        pin: SessionPin,
    ): Unit = replaceIfSameVersion(from, pin)
}
