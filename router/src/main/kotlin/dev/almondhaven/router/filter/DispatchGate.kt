package dev.almondhaven.router.filter

/**
 * Decides, right before the write to an endpoint's socket, whether a non-idempotent call may be dispatched. Once it let
 * a dispatch through it lets no other through, unless [releaseUnsent] takes the first one back.
 */
public interface DispatchGate {
    /** Whether the call may be dispatched now. */
    public fun tryAcquire(): Boolean

    /** Reports that of the dispatch certainly no byte was sent. */
    public fun releaseUnsent()
}
