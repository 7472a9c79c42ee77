package dev.almondhaven.traffic

/** Progress of a roll-out, shared by all routers and the operator. */
public enum class RollOutState {
    /** No router has started the roll-out. */
    ORDERED,

    /** Some requests go to the new version. */
    RUNNING,

    /** All requests go to the new version; the endpoints of the old one stop. */
    DONE,

    /** The new version performed worse and gets no requests. */
    ROLLED_BACK,
}
