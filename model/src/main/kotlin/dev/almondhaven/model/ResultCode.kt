package dev.almondhaven.model

/**
 * Numbered results that callers and operators see. `docs/RESULT-CODES.md` holds the same table; a test compares them.
 *
 * Blocks of numbers: 1xxx the request itself, 2xxx configuration, 3xxx model choice and sessions, 4xxx admission,
 * endpoints and answers, 5xxx claims and billing, 6xxx operators' commands and settings.
 *
 * @property number stable number of the code.
 * @property status HTTP status of an error response with this code; 0 if the code is never returned to an HTTP caller.
 * @property meaning one sentence for the table.
 */
public enum class ResultCode(
    public val number: Int,
    public val status: Int,
    public val meaning: String,
) {
    MALFORMED_REQUEST(1001, 400, "The body is not the JSON object that the path expects."),
    UNKNOWN_TOKEN(1002, 401, "The bearer token is missing or belongs to no organisation."),
    BODY_TOO_LARGE(1003, 413, "The body is larger than the limit in the settings."),
    UNKNOWN_PATH(1004, 404, "The path does not exist."),
    UNKNOWN_MODEL(1005, 404, "The model or version does not exist or the organisation may not use it."),
    UNKNOWN_SERVICE(1006, 404, "The service or call does not exist or the organisation may not use it."),

    NOT_CONFIGURED(2001, 503, "This router holds no configuration yet."),
    DOMAIN_OUT_OF_SERVICE(
        2002,
        503,
        "Operators have taken this router's failure domain out of service; use another router.",
    ),

    NO_MODEL_ALLOWED(3001, 403, "No model that the organisation may use is in service."),
    TARGET_MISSED(3002, 503, "No allowed plan reaches the organisation's quality target, and its rule is to refuse."),
    VERSION_QUARANTINED(3003, 503, "The version was quarantined before the request was sent."),
    PROMPT_TOO_LONG(3004, 413, "The prompt is longer than every allowed version accepts."),
    SESSION_TOKEN_INVALID(
        3101,
        400,
        "The session token is forged, malformed, expired or belongs to another organisation.",
    ),
    SESSION_VERSION_WITHDRAWN(3102, 409, "The session's version is withdrawn and has no usable successor."),
    SESSION_VERSION_NOT_ALLOWED(3103, 403, "The organisation may no longer use the session's version."),
    SESSION_VERSION_UNKNOWN(3104, 503, "This router's configuration does not contain the session's version yet."),
    SESSION_MODEL_DIFFERS(3105, 409, "The request names a model other than that of its session."),

    NO_ENDPOINT(4001, 503, "No endpoint in service can take the request."),
    ENDPOINT_UNREACHABLE(4002, 502, "No connection to the endpoint could be opened."),
    ENDPOINT_FAILED(4003, 502, "The endpoint answered with an error or closed the connection."),
    ANSWER_MALFORMED(4004, 502, "The endpoint's response could not be parsed."),
    ANSWER_CUT(4005, 502, "The endpoint's response was truncated."),
    DEADLINE_EXCEEDED(4006, 504, "The request's deadline passed."),
    OVERLOADED(4007, 429, "The limit of queued or running requests is reached."),
    ENDPOINT_SILENT(4008, 504, "The endpoint sent nothing for longer than the silence deadline."),
    CALLER_TOO_SLOW(4009, 408, "The caller read nothing of its response for longer than the stall deadline."),

    INTERNAL_ERROR(5001, 500, "An unexpected error occurred in the router."),

    CLAIM_KEY_MISSING(5010, 400, "A non-idempotent call needs an Idempotency-Key header of 1 to 255 characters."),
    CLAIM_KEY_EXPIRED(5011, 409, "The idempotency key is older than the retention window; whether it ran is unknown."),
    CLAIM_KEY_AHEAD(5012, 400, "The timestamp of the idempotency key is in the future."),
    CLAIM_KEY_REUSED(5013, 422, "The idempotency key belongs to another request of the same organisation and service."),
    CLAIM_UNSETTLED(5014, 503, "The claim could not be written to the platform within the deadline."),
    CLAIM_STORE_FULL(5015, 503, "The claim store is full for keys of this kind."),
    CLAIM_IN_PROGRESS(5016, 409, "An earlier attempt under the same key has not ended within the deadline."),
    CLAIM_HOLDER_GONE(5017, 409, "The router that held an earlier attempt is gone; whether it ran is unknown."),
    CLAIM_ANSWER_NOT_KEPT(5018, 409, "An earlier attempt under the same key has ended; its answer was not kept."),
    CLAIM_BOUND_PASSED(5019, 503, "The time limit for dispatching the claimed request passed."),
    CLAIM_VOIDED(5020, 503, "A concurrent call with the same key was rejected; the call may be sent again."),

    BILLING_CONFLICT(5101, 0, "Some requests have conflicting billing records; they are listed."),

    INVALID_SETTINGS(6001, 0, "The settings file is invalid; every problem is listed."),
    INVALID_NOTE(6002, 0, "The release note is invalid; every problem is listed."),
    PUBLISH_CONFLICT(6003, 0, "Another configuration was accepted first; the differences are listed."),
    PLATFORM_UNAVAILABLE(6004, 0, "The platform's object API does not respond."),
    CONFIGURATION_TOO_LARGE(6005, 0, "The configuration would exceed the size limit of the platform; nothing changed."),
    NOTE_ID_REUSED(6006, 0, "The id already names another accepted entry; nothing changed."),
    PUBLISH_UNSETTLED(
        6007,
        0,
        "A write got no response and may take effect; run the same command again to complete it.",
    ),
    AUDIT_BROKEN(6008, 0, "The audit trail has gaps or its hashes don't match."),
    ;

    public companion object {
        /** The code with [number], or null. */
        public fun ofNumber(number: Int): ResultCode? = entries.firstOrNull { it.number == number }
    }
}
