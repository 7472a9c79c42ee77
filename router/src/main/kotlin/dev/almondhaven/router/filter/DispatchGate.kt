package dev.almondhaven.router.filter

/**
 * Permits at most one dispatch of a non-idempotent call, checked immediately before the write to an endpoint's socket.
 * [tryAcquire] grants a single permit; another is granted only after [releaseUnsent] has returned it.
 */
public interface DispatchGate {
    /** Takes the permit; returns false if the call must not be dispatched now. */
    public fun tryAcquire(): Boolean

    /** Returns the permit of a dispatch of which provably no byte was sent. */
    public fun releaseUnsent()
}
