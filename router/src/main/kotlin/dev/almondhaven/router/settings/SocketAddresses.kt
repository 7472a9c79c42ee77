package dev.almondhaven.router.settings

import java.net.InetSocketAddress

/** Parses an `ip:port` setting such as `10.0.0.1:8080` or `[::1]:8080`. */
internal fun parseSocketAddress(ipAndPort: String): InetSocketAddress {
    val ip = ipAndPort.substringBeforeLast(':').trim('[', ']')
    return InetSocketAddress(ip, ipAndPort.substringAfterLast(':').toInt())
}
