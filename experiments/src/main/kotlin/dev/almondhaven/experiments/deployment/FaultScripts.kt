package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.model.NoteId
import dev.almondhaven.store.ObjectStoreFaults
import kotlin.time.Duration.Companion.seconds

/** Fault scripts for runs of the sample deployments. */
public object FaultScripts {
    private const val LOST_ANSWERS = 0.05
    private const val LOST_ANSWERS_AFTER_OUTAGE = 0.1

    /** Every fault that the routers must survive, each at least once and some of them overlapping. */
    public val FULL: FaultScript =
        faultScript(length = 64.seconds) {
            at(0.seconds, "the object API loses 5% of answers") {
                it.objects.faults = ObjectStoreFaults(lostResponses = LOST_ANSWERS)
            }
            at(4.seconds, "router 1 is killed") { it.killRouter(1) }
            at(7.seconds, "router 1 is replaced") { it.replaceRouter(1) }
            at(10.seconds, "the object API is down") { it.objects.outage = true }
            at(13.seconds, "router 2 is killed during the outage") { it.killRouter(2) }
            at(17.seconds, "router 2 is replaced during the outage") { it.replaceRouter(2) }
            at(20.seconds, "an engine restarts cold") { it.restartEngineCold(0) }
            at(24.seconds, "an engine's connections go silent") { it.hangEngine(1) }
            at(28.seconds, "the silent engine answers again") { it.recoverEngine(1) }
            at(40.seconds, "the object API is back and loses 10% of answers") {
                it.objects.outage = false
                it.objects.faults = ObjectStoreFaults(lostResponses = LOST_ANSWERS_AFTER_OUTAGE)
            }
            at(42.seconds, "a failure domain is taken out") { it.takeOutOfService(it.sample.failureDomains[1]) }
            at(44.seconds, "two operators race") { raceOperators(it) }
            at(46.seconds, "a roll-out begins") { it.publish(it.sample.rollOutNote) }
            at(49.seconds, "the new version turns bad") {
                it.failVersion(
                    it.sample.rollOutNote.models.added
                        .single()
                        .id,
                )
            }
            at(53.seconds, "the failure domain is back") { it.returnToService(it.sample.failureDomains[1]) }
            at(56.seconds, "the new version is good again and the old one is withdrawn") {
                it.recoverVersions()
                it.publish(it.sample.withdrawalNote)
            }
            at(60.seconds, "router 3 is restarted as planned") { it.restartRouter(3) }
        }

    /** A shorter script for the tests. It kills no router, since an in-process router can only be stopped. */
    public val SHORT: FaultScript =
        faultScript(length = 8.seconds) {
            at(0.seconds, "the object API loses 10% of answers") {
                it.objects.faults = ObjectStoreFaults(lostResponses = LOST_ANSWERS_AFTER_OUTAGE)
            }
            at(1.seconds, "the object API is down") { it.objects.outage = true }
            at(2.seconds, "an engine restarts cold") { it.restartEngineCold(0) }
            at(3.seconds, "the object API is back") { it.objects.outage = false }
            at(4.seconds, "two operators race") { raceOperators(it) }
            at(5.seconds, "a router is restarted as planned") { it.restartRouter(1) }
        }

    private fun raceOperators(bench: DeploymentBench) {
        val notes =
            listOf("one", "two").map { name ->
                ConfigurationEntry.NotePublished(ReleaseNote(NoteId("race-$name"), "operators race"))
            }
        val accepted = bench.publishConcurrently(notes.first(), notes.last()).count { it }
        check(accepted in 1..2) { "$accepted of two racing operators were accepted" }
    }
}
