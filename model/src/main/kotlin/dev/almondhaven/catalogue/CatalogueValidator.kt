package dev.almondhaven.catalogue

import dev.almondhaven.settings.Problem

/** Checks that a catalogue is consistent: references resolve and numbers are within their ranges. */
internal object CatalogueValidator {
    private val idPattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")
    private val digestPattern = Regex("[0-9a-f]{64}")
    private val addressPattern = Regex("""(\d{1,3}\.){3}\d{1,3}:\d{1,5}|\[[0-9a-fA-F:]+]:\d{1,5}""")
    private const val ID_EXPECTED = "letters, digits, dots, dashes or underscores, beginning with a letter or digit"

    fun problems(catalogue: Catalogue): List<Problem> =
        buildList {
            catalogue.models.forEach { addAll(check(catalogue, it)) }
            catalogue.organisations.forEach { addAll(check(catalogue, it)) }
            addAll(sharedDigests(catalogue))
            catalogue.services.forEach { addAll(check(it)) }
            catalogue.endpoints.forEach { addAll(check(catalogue, it)) }
            catalogue.failureDomains.forEach { addAll(idProblems("failureDomains[${it.id}]", it.id.value)) }
        }

    private fun check(
        catalogue: Catalogue,
        version: ModelVersion,
    ): List<Problem> =
        buildList {
            val path = "models[${version.id}]"
            addAll(idProblems("$path.model", version.model.value))
            addAll(idProblems("$path.version", version.version.value))
            addUnless(version.price.input >= 0, "$path.price.input", version.price.input, "0 or more")
            addUnless(version.price.output >= 0, "$path.price.output", version.price.output, "0 or more")
            addUnless(version.quality.weight > 0, "$path.quality.weight", version.quality.weight, "more than 0")
            addUnless(version.quality.default in 0.0..1.0, "$path.quality.default", version.quality.default, "0 to 1")
            version.quality.classes.forEach { (taskClass, value) ->
                addUnless(value in 0.0..1.0, "$path.quality.classes.$taskClass", value, "0 to 1")
            }
            val siblings = catalogue.models.filter { it.model == version.model }.map { it.version }
            version.successor?.let {
                addUnless(
                    it in siblings && it != version.version,
                    "$path.successor",
                    it,
                    "another version of the model",
                )
            }
            version.rollOut?.let { addAll(check(it, version, siblings.any { sibling -> sibling == it.predecessor })) }
        }

    private fun check(
        rollOut: RollOut,
        version: ModelVersion,
        predecessorKnown: Boolean,
    ): List<Problem> =
        buildList {
            val path = "models[${version.id}].rollOut"
            val isValidPredecessor = predecessorKnown && rollOut.predecessor != version.version
            addUnless(isValidPredecessor, "$path.predecessor", rollOut.predecessor, "another version of the model")
            addUnless(rollOut.steps.isNotEmpty(), "$path.steps", "nothing", "at least one step")
            rollOut.steps.forEachIndexed { index, step ->
                addUnless(step.share in 0.0..1.0, "$path.steps[$index].share", step.share, "0 to 1")
                addUnless(step.minutes > 0, "$path.steps[$index].minutes", step.minutes, "1 or more")
            }
            val isNonDecreasing = rollOut.steps.zipWithNext().all { (first, second) -> first.share <= second.share }
            addUnless(isNonDecreasing, "$path.steps", rollOut.steps.map { it.share }, "shares that never decrease")
        }

    private fun check(
        catalogue: Catalogue,
        organisation: Organisation,
    ): List<Problem> =
        buildList {
            val path = "organisations[${organisation.id}]"
            addAll(idProblems("$path.id", organisation.id.value))
            addUnless(organisation.share > 0, "$path.share", organisation.share, "more than 0")
            addUnless(
                organisation.quality.default in 0.0..1.0,
                "$path.quality.default",
                organisation.quality.default,
                "0 to 1",
            )
            organisation.quality.classes.forEach { (taskClass, value) ->
                addUnless(value in 0.0..1.0, "$path.quality.classes.$taskClass", value, "0 to 1")
            }
            val limits = organisation.limits
            addUnless(limits.concurrency > 0, "$path.limits.concurrency", limits.concurrency, "1 or more")
            addUnless(limits.tokensPerMinute > 0, "$path.limits.tokensPerMinute", limits.tokensPerMinute, "1 or more")
            organisation.tokenDigests.forEachIndexed { index, digest ->
                val expected = "a SHA-256 digest as 64 lower-case hexadecimal digits"
                addUnless(digestPattern.matches(digest), "$path.tokenDigests[$index]", digest, expected)
            }
            organisation.models.forEachIndexed { index, allowed ->
                val known = catalogue.models.any { it.model == allowed.model }
                addUnless(known, "$path.models[$index].model", allowed.model, "a model in the catalogue")
            }
            organisation.services.forEachIndexed { index, service ->
                val known = catalogue.services.any { it.id == service }
                addUnless(known, "$path.services[$index]", service, "a service in the catalogue")
            }
        }

    private fun sharedDigests(catalogue: Catalogue): List<Problem> =
        catalogue.organisations
            .flatMap { organisation -> organisation.tokenDigests.map { it to organisation.id } }
            .groupBy({ it.first }, { it.second })
            .filterValues { it.size > 1 }
            .map { (digest, owners) ->
                Problem("organisations", digest, "a token digest of one organisation, not of ${owners.joinToString()}")
            }

    private fun check(service: Service): List<Problem> =
        buildList {
            val path = "services[${service.id}]"
            addAll(idProblems("$path.id", service.id.value))
            service.calls.forEachIndexed { index, call ->
                addUnless(call.path.startsWith("/"), "$path.calls[$index].path", call.path, "a path beginning with /")
                val isUpperCase = call.method.isNotEmpty() && call.method.all { it in 'A'..'Z' }
                addUnless(isUpperCase, "$path.calls[$index].method", call.method, "an HTTP method in upper case")
            }
        }

    private fun check(
        catalogue: Catalogue,
        endpoint: Endpoint,
    ): List<Problem> =
        buildList {
            val path = "endpoints[${endpoint.id}]"
            addAll(idProblems("$path.id", endpoint.id.value))
            addUnless(
                addressPattern.matches(endpoint.address),
                "$path.address",
                endpoint.address,
                "an IP address and port",
            )
            addUnless(endpoint.slots > 0, "$path.slots", endpoint.slots, "1 or more")
            val domainKnown = catalogue.failureDomains.any { it.id == endpoint.failureDomain }
            addUnless(domainKnown, "$path.failureDomain", endpoint.failureDomain, "a failure domain in the catalogue")
            val service = endpoint.service
            if (service != null) {
                val known = catalogue.services.any { it.id == service }
                addUnless(known, "$path.service", service, "a service in the catalogue")
            }
            addUnless(
                (service == null) != endpoint.versions.isEmpty(),
                path,
                endpoint.id,
                "either versions or a service, and not both",
            )
            endpoint.versions.forEachIndexed { index, version ->
                val known = catalogue.models.any { it.id == version }
                addUnless(known, "$path.versions[$index]", version, "a model version in the catalogue")
            }
        }

    /** The problem with [id] if it is not a valid id. */
    fun idProblems(
        path: String,
        id: String,
    ): List<Problem> = if (idPattern.matches(id)) emptyList() else listOf(Problem(path, id, ID_EXPECTED))

    private fun MutableList<Problem>.addUnless(
        isValid: Boolean,
        path: String,
        value: Any,
        expected: String,
    ) {
        if (!isValid) add(Problem(path, "$value", expected))
    }
}
