package dev.almondhaven.traffic

/**
 * What the model engines of a service can hold.
 *
 * @property slots requests that one engine runs at once.
 * @property kvCacheTokens tokens that running requests and cached prompt parts of one engine share.
 * @property tokensPerEvent tokens in one event of a stream.
 * @property models what the engines serve, smallest first.
 */
public data class EngineProfile(
    public val slots: Int,
    public val kvCacheTokens: Long,
    public val tokensPerEvent: Int,
    public val models: List<PricedModel>,
)
