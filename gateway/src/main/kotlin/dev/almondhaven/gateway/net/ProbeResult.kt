package dev.almondhaven.gateway.net

/** What an attempt to open a connection shows of the process behind an address. */
internal enum class ProbeResult {
    LISTENING,

    /** The host is up, but no process listens. */
    REFUSED,

    /** Nothing answered in time, or the attempt failed on the way. */
    SILENT,
}
