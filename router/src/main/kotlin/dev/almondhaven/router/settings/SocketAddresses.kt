package dev.almondhaven.router.settings

import java.net.InetSocketAddress

/** Reads `ip:port` as settings write it, for example `10.0.0.1:8080` or `[::1]:8080`. */
internal fun socketAddress(hostAndPort: String): InetSocketAddress {
    val host = hostAndPort.substringBeforeLast(':').trim('[', ']')
    return InetSocketAddress(host, hostAndPort.substringAfterLast(':').toInt())
}
