package dev.almondhaven.experiments.capacity

import java.io.File
import kotlin.jvm.optionals.getOrNull
import kotlin.time.Duration
import kotlin.time.toKotlinDuration

/** CPU time and memory use of a process as accounted by the kernel; memory is read from `/proc` on Linux. */
public object ProcessCost {
    /** CPU time that [process] has used since its start. */
    public fun processorTime(process: ProcessHandle): Duration =
        checkNotNull(process.info().totalCpuDuration().getOrNull()) { "no processor time for ${process.pid()}" }
            .toKotlinDuration()

    /** Resident memory of [process] in bytes. */
    public fun residentBytes(process: ProcessHandle): Long {
        val line = File("/proc/${process.pid()}/status").readLines().first { it.startsWith("VmRSS:") }
        return line.filter { it.isDigit() }.toLong() * BYTES_PER_KIB
    }

    private const val BYTES_PER_KIB = 1_024L
}
