package dev.almondhaven.model

import kotlinx.serialization.Serializable

// The identifiers that release notes, settings and wire messages share. Each is a value class, so that for example a
// model can't be passed where an organisation is expected. The words VM, failure domain, organisation and endpoint are
// the users' own; docs/GLOSSARY.md maps them to the standard terms.

/** A customer of the system, named in the release note. */
@Serializable
@JvmInline
public value class OrganisationId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** A model, without its version. */
@Serializable
@JvmInline
public value class ModelId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** A version of one model; meaningful only together with its [ModelId]. */
@Serializable
@JvmInline
public value class VersionId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** An adapter (fine-tuned delta) loaded on top of a model version. */
@Serializable
@JvmInline
public value class AdapterId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** One replica of a model engine or of a plain service, reachable at one address. */
@Serializable
@JvmInline
public value class EndpointId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** A failure domain (zone): VMs and endpoints that fail or are cut off together. */
@Serializable
@JvmInline
public value class FailureDomainId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** A region: a group of failure domains that can lose its link to the other regions. */
@Serializable
@JvmInline
public value class RegionId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** A plain service routed beside the model engines. */
@Serializable
@JvmInline
public value class ServiceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** One router process; a restart yields a new id. */
@Serializable
@JvmInline
public value class RouterId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** One request of a caller, including all its retries and escalations. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** A conversation of a caller that must stay on one model version. */
@Serializable
@JvmInline
public value class SessionId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** A release note. The id is never reused; publishing the same id again is detected as the same operation. */
@Serializable
@JvmInline
public value class NoteId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** The kind of work a request asks for, for example `drafting`, `query` or `tagging`. */
@Serializable
@JvmInline
public value class TaskClass(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Position in the total order of accepted configurations; increases monotonically. */
@Serializable
@JvmInline
public value class Generation(
    public val value: Long,
) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** The generation that follows this one. */
    public fun next(): Generation = Generation(value + 1)

    public companion object {
        /** The generation before the first accepted configuration. */
        public val NONE: Generation = Generation(0)
    }
}
