// Runs an action for each element so that the failure of one doesn't stop the others.

package dev.almondhaven.gateway.duty

import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/** Runs [action] for each element. One that fails, with an [Error] too, is logged as part of [duty], and the others follow. */
internal fun <T> Iterable<T>.forEachIsolated(
    duty: String,
    action: (T) -> Unit,
): Unit =
    forEach {
        try {
            action(it)
        } catch (failure: Throwable) {
            LogEvent.DUTY_FAILED.log(logger, failure) { "duty=\"$duty\" ${HeapUse.now()}" }
        }
    }
