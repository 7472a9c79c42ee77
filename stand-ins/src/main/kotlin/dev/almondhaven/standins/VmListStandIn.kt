package dev.almondhaven.standins

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import dev.almondhaven.peer.VmListEntry
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** The platform's list of VMs, as a JSON list at `GET /vms`; it says what [entries] says, however old that is. */
public class VmListStandIn(
    @Volatile public var entries: List<VmListEntry> = emptyList(),
) {
    /** Adds the list's path to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service(PATH, HttpService { _, _ -> answer() })
    }

    private fun answer(): HttpResponse {
        val body = Json.encodeToString(ListSerializer(VmListEntry.serializer()), entries)
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body)
    }

    public companion object {
        /** Path of the list. */
        public const val PATH: String = "/vms"
    }
}
