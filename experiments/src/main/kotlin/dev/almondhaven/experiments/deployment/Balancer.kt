package dev.almondhaven.experiments.deployment

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Stands in for the platform's load balancer: picks among the routers that passed the last readiness check. */
public class Balancer : AutoCloseable {
    private val factory = ClientFactory.builder().connectTimeoutMillis(CONNECT_TIMEOUT.inWholeMilliseconds).build()
    private val clients = ConcurrentHashMap<String, WebClient>()
    private val checker = Thread(::checkAll, "balancer").apply { isDaemon = true }

    @Volatile
    private var addresses: List<String> = emptyList()

    @Volatile
    private var ready: List<String> = emptyList()

    @Volatile
    private var stopped = false

    /** Starts the periodic readiness checks. */
    public fun start(): Unit = checker.start()

    /** Replaces the routers to check; each becomes eligible for requests once it is ready. */
    public fun setAddresses(addresses: List<String>) {
        this.addresses = addresses
    }

    /** Waits until [count] routers are ready; false when [timeout] elapses first. */
    public fun awaitReady(
        count: Int,
        timeout: Duration,
    ): Boolean {
        val end = System.nanoTime() + timeout.inWholeNanoseconds
        while (ready.size < count) {
            if (System.nanoTime() - end > 0) return false
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL.inWholeMilliseconds)
        }
        return true
    }

    /** The address of a random ready router, or null if none is ready. */
    public fun pick(random: Random): String? = ready.randomOrNull(random)

    /** The shared HTTP client of the router at [address]. */
    public fun client(address: String): WebClient =
        clients.computeIfAbsent(address) {
            WebClient
                .builder("http://$it")
                .factory(factory)
                .responseTimeoutMillis(RESPONSE_TIMEOUT.inWholeMilliseconds)
                .build()
        }

    private fun checkAll() {
        while (!stopped) {
            val checks = addresses.map { it to client(it).get("/health/ready").aggregate() }
            ready =
                checks
                    .filter { (_, answer) ->
                        answer.handle { response, _ -> response?.status()?.isSuccess == true }.join()
                    }.map { it.first }
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL.inWholeMilliseconds)
        }
    }

    override fun close() {
        stopped = true
        factory.closeAsync()
    }

    private companion object {
        val CHECK_INTERVAL = 100.milliseconds
        val CONNECT_TIMEOUT = 500.milliseconds
        val RESPONSE_TIMEOUT = 40.seconds
    }
}
