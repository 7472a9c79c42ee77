package dev.almondhaven.operator

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.defaultLazy
import com.github.ajalt.clikt.parameters.options.option
import dev.almondhaven.store.Publisher
import java.net.InetAddress

/** Who publishes; goes into the audit trail. */
internal class PublisherOptions : OptionGroup(name = "Audit") {
    private val author by option(help = "Who publishes; by default the user's name.", envvar = "ALMONDHAVEN_AUTHOR")
        .defaultLazy { System.getProperty("user.name") }

    /** The publisher of an entry that is published now. */
    fun publisher(): Publisher = Publisher(author, System.currentTimeMillis(), hostName())

    private fun hostName(): String = runCatching { InetAddress.getLocalHost().hostName }.getOrDefault("unknown")
}
