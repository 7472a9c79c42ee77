package dev.almondhaven.decision.traffic

/** Which of a service's versions a request may run on. */
public sealed interface VersionConstraint {
    /** Whether an endpoint of [version] may run the request. */
    public fun allows(version: String): Boolean

    /** Whether a request may run on another version as long as no endpoint of an allowed one is listed. */
    public val allowsFallback: Boolean get() = true

    /** Any version. */
    public data object Any : VersionConstraint {
        override fun allows(version: String): Boolean = true
    }

    /** Only [version]. */
    public data class Only(
        val version: String,
    ) : VersionConstraint {
        override fun allows(version: String): Boolean = version == this.version
    }

    /** Any but [version], which was found bad or may not be used at all if [strict]. */
    public data class Except(
        val version: String,
        val strict: Boolean = false,
    ) : VersionConstraint {
        override val allowsFallback: Boolean get() = !strict

        override fun allows(version: String): Boolean = version != this.version
    }
}
