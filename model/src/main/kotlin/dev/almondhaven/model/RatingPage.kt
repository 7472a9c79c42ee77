package dev.almondhaven.model

import kotlinx.serialization.Serializable

/**
 * What the rating service thinks of one answer.
 *
 * @property rating from 0 to 1.
 */
@Serializable
public data class Rating(
    public val requestId: RequestId,
    public val rating: Double,
)

/**
 * Ratings behind a cursor, oldest first.
 *
 * @property next cursor to ask with for what comes after this page.
 */
@Serializable
public data class RatingPage(
    public val ratings: List<Rating>,
    public val next: String,
)
