package dev.almondhaven.router.session

import com.google.common.cache.CacheBuilder
import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import dev.almondhaven.router.settings.SessionSettings
import java.util.concurrent.CompletableFuture
import kotlin.time.toJavaDuration

/**
 * Remembers the version of sessions whose callers send an id but no token. Soft state: it may forget, so what must hold
 * rests on tokens. Nothing here blocks.
 */
public interface SessionDirectory {
    /** The pin of [key], or null when nobody who answered knows one. */
    public fun lookUp(key: SessionKey): CompletableFuture<SessionPin?>

    /** Like [lookUp], but asks the holders also when this process remembers a pin. */
    public fun refresh(key: SessionKey): CompletableFuture<SessionPin?>

    /** Remembers [pin] and returns the pin that the session keeps: the oldest one known. */
    public fun remember(pin: SessionPin): CompletableFuture<SessionPin>

    /** Replaces what is known by [pin], because its session moved off a withdrawn version. */
    public fun move(
        from: SessionPin,
        pin: SessionPin,
    )
}

/** The directory of one process: bounded, and forgets sessions without requests. */
public class LocalSessionDirectory(
    settings: SessionSettings,
) : SessionDirectory {
    private val pins =
        CacheBuilder
            .newBuilder()
            .maximumSize(settings.directoryEntries)
            .expireAfterAccess(settings.directoryAge.toJavaDuration())
            .build<SessionKey, SessionPin>()

    /** Sessions remembered. */
    public val size: Long get() = pins.size()

    /** The pin that this process remembers. */
    public fun held(key: SessionKey): SessionPin? = pins.getIfPresent(key)

    /** Keeps the older of [pin] and the pin held; returns it. */
    public fun keep(pin: SessionPin): SessionPin = checkNotNull(pins.asMap().merge(pin.key, pin, SessionPin::merge))

    /** Forgets [from] in favour of [pin] if [from] is what is held. */
    public fun replace(
        from: SessionPin,
        pin: SessionPin,
    ) {
        pins.asMap().compute(pin.key) { _, held -> if (held == null || held.version == from.version) pin else held }
    }

    override fun lookUp(key: SessionKey): CompletableFuture<SessionPin?> = CompletableFuture.completedFuture(held(key))

    override fun refresh(key: SessionKey): CompletableFuture<SessionPin?> = lookUp(key)

    override fun remember(pin: SessionPin): CompletableFuture<SessionPin> = CompletableFuture.completedFuture(keep(pin))

    override fun move(
        from: SessionPin,
        pin: SessionPin,
    ): Unit = replace(from, pin)
}
