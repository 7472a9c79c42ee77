package dev.almondhaven.traffic

/**
 * Capacity and models of the model engines of a service.
 *
 * @property slots number of requests that one engine runs concurrently.
 * @property kvCacheTokens KV cache capacity of one engine in tokens, shared by running requests and cached prefixes.
 * @property tokensPerEvent number of tokens in one event of a stream.
 * @property models models that the engines serve, smallest first.
 */
public data class EngineProfile(
    public val slots: Int,
    public val kvCacheTokens: Long,
    public val tokensPerEvent: Int,
    public val models: List<PricedModel>,
)
