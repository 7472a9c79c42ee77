package dev.almondhaven.operator

import arrow.core.Either
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NoteId
import dev.almondhaven.store.Accepted
import dev.almondhaven.store.PublishError

/** Parent of the commands for failure domains. */
internal class DomainCommand : CliktCommand(name = "domain") {
    override fun help(context: Context): String = "Takes failure domains out of service and brings them back."

    override fun run(): Unit = Unit
}

/** A command that changes whether one failure domain is in service. */
internal abstract class DomainServiceCommand(
    name: String,
    private val done: String,
) : CliktCommand(name) {
    private val domain by argument(help = "Failure domain.")
    private val reason by option(help = "Why; goes into the audit trail.").required()
    private val id by option(help = "Id of this act; give the same one again to settle an act that got no answer.")
    private val platform by PlatformOptions()
    private val publisher by PublisherOptions()
    private val routers by RouterOptions()

    /** The entry to publish. */
    protected abstract fun entry(
        id: NoteId,
        reason: String,
        domain: FailureDomainId,
    ): ConfigurationEntry

    override fun run() {
        val who = publisher.publisher()
        val actId = NoteId(id ?: "$commandName-$domain-${who.acceptedAt}")
        val entry = entry(actId, reason, FailureDomainId(domain))
        var result = platform.store.publish(entry, who)
        repeat(CONFLICT_RETRIES) { if (overtaken(result)) result = platform.store.publish(entry, who) }
        val accepted = result.fold({ throw withId(it, actId) }, { it })
        echo("failure domain $domain is $done as generation ${accepted.generation}")
        pushToRouters(routers, platform)
    }

    /** Another entry came first; this one doesn't depend on it. */
    private fun overtaken(result: Either<PublishError, Accepted>): Boolean =
        result.leftOrNull() is PublishError.Conflict

    private fun withId(
        error: PublishError,
        actId: NoteId,
    ) = error.toFailure().also { if (error is PublishError.Unsettled) echo("add --id $actId to settle it", err = true) }

    private companion object {
        const val CONFLICT_RETRIES = 20
    }
}

/** Takes a failure domain out of service. */
internal class DomainTakeOutCommand : DomainServiceCommand(name = "take-out", done = "taken out") {
    override fun help(context: Context): String =
        """
        Takes a failure domain out: its endpoints get no new work and its routers take none. Running work goes on.

        Example: almondhaven domain take-out west --reason "switch replacement"
        """.trimIndent()

    override fun entry(
        id: NoteId,
        reason: String,
        domain: FailureDomainId,
    ): ConfigurationEntry = ConfigurationEntry.DomainTakenOut(id, reason, domain)
}

/** Brings a failure domain back. */
internal class DomainReturnCommand : DomainServiceCommand(name = "return", done = "back in service") {
    override fun help(context: Context): String =
        """
        Brings a failure domain back; its load ramps up from the moment of this command.

        Example: almondhaven domain return west --reason "switch replaced"
        """.trimIndent()

    override fun entry(
        id: NoteId,
        reason: String,
        domain: FailureDomainId,
    ): ConfigurationEntry = ConfigurationEntry.DomainReturned(id, reason, domain)
}
