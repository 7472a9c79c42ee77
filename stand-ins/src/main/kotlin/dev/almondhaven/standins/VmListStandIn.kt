package dev.almondhaven.standins

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import dev.almondhaven.peer.VmListEntry
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Stand-in for the platform's list of VMs: `GET /vms` returns [entries] as a JSON array, up to date or not. */
public class VmListStandIn(
    @Volatile public var entries: List<VmListEntry> = emptyList(),
) {
    /** Adds the path of the VM list to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service(PATH, HttpService { _, _ -> list() })
    }

    private fun list(): HttpResponse {
        val body = Json.encodeToString(ListSerializer(VmListEntry.serializer()), entries)
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body)
    }

    public companion object {
        /** Path of the VM list. */
        public const val PATH: String = "/vms"
    }
}
