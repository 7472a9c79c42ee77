package dev.almondhaven.traffic

/**
 * A model that an engine serves.
 *
 * @property cost price of 1,000 generated tokens; a token that is read costs a quarter.
 */
public data class PricedModel(
    public val name: String,
    public val cost: Double,
)
