package dev.almondhaven.model

import kotlinx.serialization.Serializable

/**
 * The rating of one answer by the rating service.
 *
 * @property rating from 0 to 1.
 */
@Serializable
public data class Rating(
    public val requestId: RequestId,
    public val rating: Double,
)

/**
 * One page of ratings after a cursor, oldest first.
 *
 * @property next cursor that requests the page after this one.
 */
@Serializable
public data class RatingPage(
    public val ratings: List<Rating>,
    public val next: String,
)
