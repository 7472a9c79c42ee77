package dev.almondhaven.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.billing.BillingObject
import kotlinx.serialization.json.Json
import java.security.MessageDigest
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter
import java.util.HexFormat

/**
 * Stores billing objects on the platform under `billing/{hour}/{digest}`. The digest is computed from the names of the
 * batches in the object, so storing the same batches again has no effect.
 */
public class BillingStore(
    private val objects: ObjectStore,
) {
    /** Stores [value]; idempotent, so it also succeeds when the same batches are already stored. */
    public fun store(value: BillingObject): Either<PlatformError, Unit> {
        val text = json.encodeToString(BillingObject.serializer(), value)
        val result = objects.put(keyOf(value), text, WriteCondition.Absent)
        return if (result.leftOrNull() == PlatformError.ConditionFailed) Unit.right() else result.map { }
    }

    /** Reads the objects whose hour (`yyyyMMddHH`) is between [from] and [to], inclusive; an empty bound is open. */
    public fun readAll(
        from: String = "",
        to: String = "",
    ): Either<PlatformError, List<BillingObject>> {
        val found = ArrayList<BillingObject>()
        var after: ObjectKey? = if (from.isEmpty()) null else ObjectKey("$PREFIX$from")
        while (true) {
            val page = objects.list(PREFIX, after, PAGE_SIZE).fold({ return it.left() }, { it })
            page.objects
                .filter { to.isEmpty() || hourOf(it.key) <= to }
                .mapTo(found) { json.decodeFromString(BillingObject.serializer(), it.value) }
            after = page.next ?: return found.right()
        }
    }

    private fun keyOf(value: BillingObject): ObjectKey {
        val firstSealedAt = value.batches.minOf { it.sealedAt }
        val names = value.batches.joinToString("\n") { it.name.toString() }
        val digest = MessageDigest.getInstance("SHA-256").digest(names.toByteArray())
        return ObjectKey(
            "$PREFIX${hour(firstSealedAt)}/${HexFormat.of().formatHex(digest).take(DIGEST_HEX_CHARACTERS)}",
        )
    }

    private fun hourOf(key: ObjectKey): String = key.value.removePrefix(PREFIX).substringBefore('/')

    public companion object {
        private const val PREFIX = "billing/"
        private const val PAGE_SIZE = 20
        private const val DIGEST_HEX_CHARACTERS = 32
        private val hourFormat = DateTimeFormatter.ofPattern("yyyyMMddHH").withZone(ZoneOffset.UTC)
        private val json = Json { ignoreUnknownKeys = true }

        /** Returns the UTC hour of [epochMillis] as `yyyyMMddHH`. */
        public fun hour(epochMillis: Long): String = hourFormat.format(Instant.ofEpochMilli(epochMillis))
    }
}
