// Entry point of the router process on the platform's VMs. Opens the callers' port first and loads the rest of the
// program afterwards; nothing in this file may load a library.

package dev.almondhaven.gateway

import kotlin.system.exitProcess

private const val TRAINING_RUN = "rehearse"
private const val LISTEN_OPTION = "--listen"

/**
 * Runs the router, or a [CdsTrainingRun] if the only argument is `rehearse`. With `--listen IP:PORT` the port is open
 * from the start of the process; it should be the callers' address of the settings file.
 */
public fun main(arguments: Array<String>) {
    if (arguments.size == 1 && arguments[0] == TRAINING_RUN) exitProcess(CdsTrainingRun().run())
    val option = arguments.indexOf(LISTEN_OPTION)
    val address = if (option >= 0 && option + 1 < arguments.size) arguments[option + 1] else null
    val listener = EarlyListener.open(address)
    RouterProcess(listener).run()
}
