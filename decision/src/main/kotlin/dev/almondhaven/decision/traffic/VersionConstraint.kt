package dev.almondhaven.decision.traffic

/** Restricts which versions of a service a request may run on. */
public sealed interface VersionConstraint {
    /** Whether an endpoint of [version] may run the request. */
    public fun allows(version: String): Boolean

    /** Whether any other version may run the request while no endpoint of an allowed version is listed. */
    public val allowsFallback: Boolean get() = true

    /** Allows every version. */
    public data object Any : VersionConstraint {
        override fun allows(version: String): Boolean = true
    }

    /** Allows only [version]. */
    public data class Only(
        val version: String,
    ) : VersionConstraint {
        override fun allows(version: String): Boolean = version == this.version
    }

    /**
     * Allows every version except [version].
     *
     * @property strict whether [version] must not be used even as a fallback, because it was found to be bad.
     */
    public data class Except(
        val version: String,
        val strict: Boolean = false,
    ) : VersionConstraint {
        override val allowsFallback: Boolean get() = !strict

        override fun allows(version: String): Boolean = version != this.version
    }
}
