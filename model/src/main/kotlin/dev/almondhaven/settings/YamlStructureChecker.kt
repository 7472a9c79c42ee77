package dev.almondhaven.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlin.time.Duration

/**
 * Compares a YAML tree with the structure that a serializer expects and collects every difference: missing and unknown
 * fields, wrong kinds, and values outside an enumeration.
 */
internal class YamlStructureChecker private constructor() {
    private val problems = mutableListOf<Problem>()

    private fun visit(
        descriptor: SerialDescriptor,
        node: YamlNode,
        path: String,
    ) {
        if (node is YamlNull) {
            if (!descriptor.isNullable) report(path, "null", expectation(descriptor))
            return
        }
        if (descriptor.isInline) {
            visit(descriptor.getElementDescriptor(0), node, path)
            return
        }
        when (val kind = descriptor.kind) {
            StructureKind.CLASS, StructureKind.OBJECT -> visitClass(descriptor, node, path)
            StructureKind.LIST -> visitList(descriptor, node, path)
            StructureKind.MAP -> visitMap(descriptor, node, path)
            SerialKind.ENUM -> visitEnum(descriptor, node, path)
            is PrimitiveKind -> visitPrimitive(descriptor, kind, node, path)
            else -> Unit
        }
    }

    private fun visitClass(
        descriptor: SerialDescriptor,
        node: YamlNode,
        path: String,
    ) {
        if (node !is YamlMap) return report(path, node.contentToString(), expectation(descriptor))
        val names = descriptor.elementNames.toList()
        node.entries.keys
            .filter { it.content !in names }
            .forEach { report(join(path, it.content), it.content, "one of the fields ${names.joinToString()}") }
        names.forEachIndexed { index, name ->
            val child = node.get<YamlNode>(name)
            val element = descriptor.getElementDescriptor(index)
            when {
                child != null -> visit(element, child, join(path, name))
                !descriptor.isElementOptional(index) -> report(join(path, name), "nothing", expectation(element))
            }
        }
    }

    private fun visitList(
        descriptor: SerialDescriptor,
        node: YamlNode,
        path: String,
    ) {
        if (node !is YamlList) return report(path, node.contentToString(), "a list")
        val element = descriptor.getElementDescriptor(0)
        node.items.forEachIndexed { index, item -> visit(element, item, "$path[$index]") }
    }

    private fun visitMap(
        descriptor: SerialDescriptor,
        node: YamlNode,
        path: String,
    ) {
        if (node !is YamlMap) return report(path, node.contentToString(), "a mapping")
        val element = descriptor.getElementDescriptor(1)
        node.entries.forEach { (key, value) -> visit(element, value, join(path, key.content)) }
    }

    private fun visitEnum(
        descriptor: SerialDescriptor,
        node: YamlNode,
        path: String,
    ) {
        val names = descriptor.elementNames.toList()
        val content = (node as? YamlScalar)?.content
        if (content !in names) report(path, node.contentToString(), "one of ${names.joinToString()}")
    }

    private fun visitPrimitive(
        descriptor: SerialDescriptor,
        kind: PrimitiveKind,
        node: YamlNode,
        path: String,
    ) {
        val content = (node as? YamlScalar)?.content
        if (content == null || !accepts(descriptor, kind, content)) {
            report(path, node.contentToString(), expectation(descriptor))
        }
    }

    private fun accepts(
        descriptor: SerialDescriptor,
        kind: PrimitiveKind,
        content: String,
    ): Boolean =
        when (kind) {
            PrimitiveKind.BOOLEAN -> content == "true" || content == "false"
            PrimitiveKind.INT -> content.toIntOrNull() != null
            PrimitiveKind.LONG -> content.toLongOrNull() != null
            PrimitiveKind.DOUBLE -> content.toDoubleOrNull()?.isFinite() == true
            PrimitiveKind.STRING -> descriptor.serialName != DurationText.NAME || Duration.parseOrNull(content) != null
            else -> true
        }

    private fun expectation(descriptor: SerialDescriptor): String =
        when {
            descriptor.isInline -> expectation(descriptor.getElementDescriptor(0))
            descriptor.serialName == DurationText.NAME -> "a duration such as 3s or 250ms"
            descriptor.kind == PrimitiveKind.BOOLEAN -> "true or false"
            descriptor.kind == PrimitiveKind.INT || descriptor.kind == PrimitiveKind.LONG -> "an integer"
            descriptor.kind == PrimitiveKind.DOUBLE -> "a number"
            descriptor.kind is PrimitiveKind -> "a string"
            descriptor.kind == StructureKind.LIST -> "a list"
            descriptor.kind == SerialKind.ENUM -> "one of ${descriptor.elementNames.joinToString()}"
            else -> "a mapping with the fields ${descriptor.elementNames.joinToString()}"
        }

    private fun report(
        path: String,
        value: String,
        expected: String,
    ) {
        problems += Problem(path, value, expected)
    }

    private fun join(
        path: String,
        name: String,
    ): String = if (path.isEmpty()) name else "$path.$name"

    internal companion object {
        fun check(
            descriptor: SerialDescriptor,
            root: YamlNode,
        ): List<Problem> = YamlStructureChecker().apply { visit(descriptor, root, "") }.problems
    }
}
