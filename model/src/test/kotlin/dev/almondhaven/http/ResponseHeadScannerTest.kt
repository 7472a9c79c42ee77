package dev.almondhaven.http

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class ResponseHeadScannerTest {
    private val scanner = ResponseHeadScanner()

    /** How many bytes of [text] are read as a head, or null if they are none. */
    private fun scan(text: String): Int? {
        val bytes = text.toByteArray(Charsets.ISO_8859_1)
        val read = bytes.takeWhile { !scanner.isComplete && scanner.accept(it) }.size
        return read.takeIf { scanner.isComplete }
    }

    @Nested
    inner class `a head` {
        @Test
        fun `ends at its empty line`() {
            val head = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"

            expectThat(scan(head + "booked") to scanner.status).isEqualTo(head.length to 200)
        }

        @Test
        fun `may follow another one`() {
            val interim = "HTTP/1.1 100 Continue\r\n\r\n"
            val final = "\r\nHTTP/1.0 404\r\nA:\r\n\r\n"
            expectThat(scan(interim) to scanner.status).isEqualTo(interim.length to 100)
            scanner.reset()

            expectThat(scan(final) to scanner.status).isEqualTo(final.length to 404)
        }

        @Test
        fun `is not complete without its last byte`() {
            expectThat(scan("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r")).isEqualTo(null)
            expectThat(scanner.problem).isEqualTo(null)
        }

        @Test
        fun `has a limited size`() {
            scan("HTTP/1.1 200 OK\r\nA: ")
            while (scanner.accept('a'.code.toByte())) continue

            expectThat(scanner.problem).isEqualTo("a head above 65536 bytes")
        }
    }

    @Nested
    inner class `a byte that no head has` {
        @Test
        fun `is named`() {
            scan("HTTP/1.1 200 OK\r\nX Note: a\r\n\r\n")

            expectThat(scanner.problem).isEqualTo("byte value 32 at index 1 of the field line")
        }

        @Test
        fun `is refused at any place of the status line`() {
            val line = "HTTP/1.1 200 OK\r\n"
            line.indices.forEach { index ->
                scanner.reset()
                scan(line.replaceRange(index, index + 1, "\u0000"))
                expectThat(scanner.problem == null).isFalse()
            }
        }
    }
}
