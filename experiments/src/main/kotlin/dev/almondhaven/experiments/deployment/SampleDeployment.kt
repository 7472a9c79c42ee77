package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.settings.YamlDocument
import java.io.File

/** A sample deployment, as defined by the release notes under `examples/`. */
public class SampleDeployment private constructor(
    public val name: String,
    private val directory: File,
) {
    /** The release note with the initial configuration. */
    public val initialNote: ReleaseNote = read("note.yaml")

    /** The release note that starts the roll-out of a new model version. */
    public val rollOutNote: ReleaseNote = read("roll-out.yaml")

    /** The release note that withdraws the predecessor of the rolled-out version. */
    public val withdrawalNote: ReleaseNote = read("withdrawal.yaml")

    /** Failure domains in the order of the initial release note. */
    public val failureDomains: List<FailureDomainId> = initialNote.failureDomains.added.map { it.id }

    /** The failure domain of each router VM: one per domain and a second one in the first domain, five in all. */
    public val entryDomains: List<FailureDomainId> = failureDomains + failureDomains.first()

    private fun read(file: String): ReleaseNote =
        YamlDocument
            .read(ReleaseNote.serializer(), File(directory, file).readText())
            .fold({ error("${directory.name}/$file: $it") }, { it })

    public companion object {
        /** Reads both sample deployments from the directory [examples]. */
        public fun all(examples: File): List<SampleDeployment> =
            listOf("pennant", "association").map { SampleDeployment(it, File(examples, it)) }

        /** The bearer token of an organisation in the sample deployments. */
        public fun tokenOf(organisation: String): String = "$organisation-token"
    }
}
