package dev.almondhaven.traffic

/**
 * A model that an engine serves, with its price.
 *
 * @property cost price of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
 */
public data class PricedModel(
    public val name: String,
    public val cost: Double,
)
