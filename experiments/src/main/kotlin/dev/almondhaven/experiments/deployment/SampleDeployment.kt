package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.settings.YamlDocument
import java.io.File

/** One of the users' deployments, as the files under `examples/` describe it. */
public class SampleDeployment private constructor(
    public val name: String,
    private val directory: File,
) {
    /** The note that configures everything. */
    public val first: ReleaseNote = read("note.yaml")

    /** The note that begins a roll-out. */
    public val rollOut: ReleaseNote = read("roll-out.yaml")

    /** The note that withdraws the predecessor of the rolled-out version. */
    public val withdrawal: ReleaseNote = read("withdrawal.yaml")

    /** Failure domains in the order of the note. */
    public val failureDomains: List<FailureDomainId> = first.failureDomains.added.map { it.id }

    /** The failure domain of each entry VM: five VMs, so that one domain has two. */
    public val entryDomains: List<FailureDomainId> = failureDomains + failureDomains.first()

    private fun read(file: String): ReleaseNote =
        YamlDocument
            .read(ReleaseNote.serializer(), File(directory, file).readText())
            .fold({ error("${directory.name}/$file: $it") }, { it })

    public companion object {
        /** The deployments of both users, from the directory [examples]. */
        public fun all(examples: File): List<SampleDeployment> =
            listOf("pennant", "association").map { SampleDeployment(it, File(examples, it)) }

        /** The sample token of an organisation. */
        public fun tokenOf(organisation: String): String = "$organisation-token"
    }
}
