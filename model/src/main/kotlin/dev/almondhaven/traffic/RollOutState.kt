package dev.almondhaven.traffic

/** How far a roll-out has come, as all routers and the operator see it. */
public enum class RollOutState {
    /** Nobody has taken the order up. */
    ORDERED,

    /** Some requests go to the new version. */
    RUNNING,

    /** All requests go to the new version; the old endpoints stop. */
    DONE,

    /** The new version turned out bad and gets nothing. */
    ROLLED_BACK,
}
