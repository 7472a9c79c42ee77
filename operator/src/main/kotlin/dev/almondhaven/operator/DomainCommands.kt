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
    override fun help(context: Context): String = "Takes failure domains out of service and returns them."

    override fun run(): Unit = Unit
}

/** Base of the commands that take one failure domain out of service or return it. */
internal abstract class DomainServiceCommand(
    name: String,
    private val resultingState: String,
) : CliktCommand(name) {
    private val domain by argument(help = "Failure domain.")
    private val reason by option(help = "Reason, recorded in the audit trail.").required()
    private val id by option(help = "Id of this change; repeat it to retry a change whose outcome is unknown.")
    private val platform by PlatformOptions()
    private val publisher by PublisherOptions()
    private val routers by RouterOptions()

    /** Builds the configuration entry to publish. */
    protected abstract fun entry(
        id: NoteId,
        reason: String,
        domain: FailureDomainId,
    ): ConfigurationEntry

    override fun run() {
        val publishedBy = publisher.publisher()
        val entryId = NoteId(id ?: "$commandName-$domain-${publishedBy.acceptedAt}")
        val entry = entry(entryId, reason, FailureDomainId(domain))
        var result = platform.store.publish(entry, publishedBy)
        repeat(MAX_CONFLICT_RETRIES) { if (isConflict(result)) result = platform.store.publish(entry, publishedBy) }
        val accepted = result.fold({ throw failureWithRetryHint(it, entryId) }, { it })
        echo("failure domain $domain is $resultingState as of generation ${accepted.generation}")
        pushToRouters(routers, platform)
    }

    /** Whether another entry was published first. This entry doesn't depend on it, so it can be published again. */
    private fun isConflict(result: Either<PublishError, Accepted>): Boolean =
        result.leftOrNull() is PublishError.Conflict

    /** Converts [error]; if the outcome is unknown, it also prints the id with which to retry. */
    private fun failureWithRetryHint(
        error: PublishError,
        entryId: NoteId,
    ) = error.toFailure().also { if (error is PublishError.Unsettled) echo("to retry, add --id $entryId", err = true) }

    private companion object {
        const val MAX_CONFLICT_RETRIES = 20
    }
}

/** Takes a failure domain out of service. */
internal class DomainTakeOutCommand : DomainServiceCommand(name = "take-out", resultingState = "taken out") {
    override fun help(context: Context): String =
        """
        Takes a failure domain out of service: its endpoints get no new requests and its routers accept none. Requests
        in progress continue.

        Example: almondhaven domain take-out west --reason "switch replacement"
        """.trimIndent()

    override fun entry(
        id: NoteId,
        reason: String,
        domain: FailureDomainId,
    ): ConfigurationEntry = ConfigurationEntry.DomainTakenOut(id, reason, domain)
}

/** Returns a failure domain to service. */
internal class DomainReturnCommand : DomainServiceCommand(name = "return", resultingState = "back in service") {
    override fun help(context: Context): String =
        """
        Returns a failure domain to service. Its load ramps up from the time of this command.

        Example: almondhaven domain return west --reason "switch replaced"
        """.trimIndent()

    override fun entry(
        id: NoteId,
        reason: String,
        domain: FailureDomainId,
    ): ConfigurationEntry = ConfigurationEntry.DomainReturned(id, reason, domain)
}
