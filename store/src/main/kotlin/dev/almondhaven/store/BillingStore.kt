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
 * Billing records on the platform, at `billing/{hour}/{digest}`. The name follows from the names of the batches in the
 * object, so writing the same batches again has no effect.
 */
public class BillingStore(
    private val objects: ObjectStore,
) {
    /** Stores [value]; succeeds too when it was stored before. */
    public fun store(value: BillingObject): Either<PlatformError, Unit> {
        val text = json.encodeToString(BillingObject.serializer(), value)
        val result = objects.put(keyOf(value), text, WriteCondition.Absent)
        return if (result.leftOrNull() == PlatformError.ConditionFailed) Unit.right() else result.map { }
    }

    /** All objects whose hour lies from [from] to [to], which may be empty for no bound; hours are `yyyyMMddHH`. */
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
        val first = value.batches.minOf { it.sealedAt }
        val names = value.batches.joinToString("\n") { it.name.toString() }
        val digest = MessageDigest.getInstance("SHA-256").digest(names.toByteArray())
        return ObjectKey("$PREFIX${hour(first)}/${HexFormat.of().formatHex(digest).take(DIGEST_CHARACTERS)}")
    }

    private fun hourOf(key: ObjectKey): String = key.value.removePrefix(PREFIX).substringBefore('/')

    public companion object {
        private const val PREFIX = "billing/"
        private const val PAGE_SIZE = 20
        private const val DIGEST_CHARACTERS = 32
        private val hours = DateTimeFormatter.ofPattern("yyyyMMddHH").withZone(ZoneOffset.UTC)
        private val json = Json { ignoreUnknownKeys = true }

        /** The hour, in UTC, that [epochMillis] lies in. */
        public fun hour(epochMillis: Long): String = hours.format(Instant.ofEpochMilli(epochMillis))
    }
}
