package dev.almondhaven.operator

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.defaultLazy
import com.github.ajalt.clikt.parameters.options.option
import dev.almondhaven.store.Publisher
import java.net.InetAddress

/** Options that identify the publisher in the audit trail. */
internal class PublisherOptions : OptionGroup(name = "Audit") {
    private val author by option(
        help = "Author of the change; by default the user's name.",
        envvar = "ALMONDHAVEN_AUTHOR",
    ).defaultLazy { System.getProperty("user.name") }

    /** Publisher information for an entry published at the current time. */
    fun publisher(): Publisher = Publisher(author, System.currentTimeMillis(), hostName())

    private fun hostName(): String = runCatching { InetAddress.getLocalHost().hostName }.getOrDefault("unknown")
}
