package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import java.util.TreeMap

/** Counts the calls to the store since the process started, by kind of objects and sort of call. */
internal class StoreCallCounts {
    private val counts = TreeMap<String, Int>()

    val total: Int get() = counts.values.sum()

    fun count(call: StoreCall) {
        counts.merge("${call.sort}:${call.kind}", 1, Int::plus)
    }

    /** The counts as `sort:kind=count`, separated by spaces. */
    override fun toString(): String = counts.entries.joinToString(" ") { "${it.key}=${it.value}" }
}
