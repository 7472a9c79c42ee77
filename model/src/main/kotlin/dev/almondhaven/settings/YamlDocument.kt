package dev.almondhaven.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlPathSegment
import kotlinx.serialization.KSerializer

/**
 * Reads YAML documents that operators wrote and reports all problems at once; the YAML library alone stops at the first
 * one.
 *
 * ```
 * YamlDocument.read(RouterSettings.serializer(), text)
 * ```
 */
public object YamlDocument {
    /** Parses [text] as a [T], or lists every structural problem. */
    public fun <T> read(
        serializer: KSerializer<T>,
        text: String,
    ): Either<List<Problem>, T> {
        val root = parse(text).fold({ return listOf(it).left() }, { it })
        val problems = YamlStructureChecker.check(serializer.descriptor, root)
        if (problems.isNotEmpty()) return problems.left()
        return decode(serializer, root)
    }

    /** Writes [value] as YAML. */
    public fun <T> write(
        serializer: KSerializer<T>,
        value: T,
    ): String = Yaml.default.encodeToString(serializer, value)

    private fun parse(text: String): Either<Problem, YamlNode> =
        try {
            Yaml.default.parseToYamlNode(text).right()
        } catch (exception: YamlException) {
            exception.toProblem().left()
        }

    private fun <T> decode(
        serializer: KSerializer<T>,
        root: YamlNode,
    ): Either<List<Problem>, T> =
        try {
            Yaml.default.decodeFromYamlNode(serializer, root).right()
        } catch (exception: YamlException) {
            listOf(exception.toProblem()).left()
        }

    private fun YamlException.toProblem(): Problem {
        val segments = path.segments.filterNot { it is YamlPathSegment.Root }
        val location = if (segments.isEmpty()) "document" else path.toHumanReadableString()
        return Problem(location, "line $line, column $column", message)
    }
}
