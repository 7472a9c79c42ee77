package dev.almondhaven.gateway.duty

/** Heap in use, and the most that the process may use, in MiB. */
internal object HeapUse {
    private const val BYTES_PER_MEBIBYTE = 1_048_576

    fun now(): String {
        val runtime = Runtime.getRuntime()
        val used = (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEBIBYTE
        return "heapMebibytes=$used/${runtime.maxMemory() / BYTES_PER_MEBIBYTE}"
    }
}
