package dev.almondhaven.operator

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.writeText

class ExplainRequestCommandTest {
    @TempDir
    lateinit var directory: Path

    private fun line(
        millis: Long,
        message: String,
    ) = """{"timestamp":$millis,"level":"INFO","message":"$message","throwable":null}""" + "\n"

    private fun file(
        name: String,
        vararg lines: String,
    ): String = directory.resolve(name).also { it.writeText(lines.joinToString("")) }.toString()

    @Nested
    inner class `a request that two routers logged` {
        @Test
        fun `is listed in time order, without other requests and damaged lines`() {
            val first =
                file(
                    "a.log",
                    line(2_000, "REQUEST_ENDED request=r-1 outcome=served"),
                    "request=r-1 {cut\n",
                    "started\n",
                )
            val second =
                file(
                    "b.log",
                    "   0.07 " + line(1_000, "REQUEST_REFUSED request=r-1 status=503"),
                    line(1_500, "X request=r-12"),
                )
            expectThat(ExplainRequestCommand().test(listOf("r-1", first, second)).stdout).isEqualTo(
                "1970-01-01T00:00:01Z b.log REQUEST_REFUSED request=r-1 status=503\n" +
                    "1970-01-01T00:00:02Z a.log REQUEST_ENDED request=r-1 outcome=served\n",
            )
        }
    }

    @Nested
    inner class `a request that no router logged` {
        @Test
        fun `is reported as an error`() {
            val result = ExplainRequestCommand().test(listOf("r-1", file("a.log")))
            expectThat(result.statusCode).isEqualTo(1)
            expectThat(result.stderr).contains("no event about request r-1 in the 1 given files")
        }
    }
}
