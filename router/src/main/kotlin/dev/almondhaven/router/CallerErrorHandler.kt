package dev.almondhaven.router

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode

/**
 * Renders errors that the HTTP server detects before the filter chain runs, such as an oversized body, in the same JSON
 * format as the router's own errors.
 */
internal object CallerErrorHandler : ServerErrorHandler {
    override fun onServiceException(
        context: ServiceRequestContext,
        cause: Throwable,
    ): HttpResponse? = null

    override fun renderStatus(
        context: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?,
    ): AggregatedHttpResponse? {
        val code =
            when (status) {
                HttpStatus.REQUEST_ENTITY_TOO_LARGE -> ResultCode.BODY_TOO_LARGE
                HttpStatus.BAD_REQUEST -> ResultCode.MALFORMED_REQUEST
                else -> return null
            }
        val body = ErrorBody.of(Refusal.notRun(code, description ?: status.reasonPhrase()), NO_REQUEST_ID)
        return AggregatedHttpResponse.of(status, MediaType.JSON, body.toJson())
    }

    private const val NO_REQUEST_ID = "none"
}
