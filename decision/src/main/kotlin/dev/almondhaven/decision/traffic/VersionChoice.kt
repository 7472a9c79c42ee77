package dev.almondhaven.decision.traffic

/** Which of a service's versions a request may run on. */
public sealed interface VersionChoice {
    /** Whether an endpoint of [version] may run the request. */
    public fun allows(version: String): Boolean

    /** Any version. */
    public data object Any : VersionChoice {
        override fun allows(version: String): Boolean = true
    }

    /** Only [version]. */
    public data class Only(
        val version: String,
    ) : VersionChoice {
        override fun allows(version: String): Boolean = version == this.version
    }

    /** Any but [version]. */
    public data class Except(
        val version: String,
    ) : VersionChoice {
        override fun allows(version: String): Boolean = version != this.version
    }
}
