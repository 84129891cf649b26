/* Idempotency claims: a request that must run at most once and is retried at another host.
 *
 * Three calls carry the same idempotency key. Each call claims the key at the
 * keepers, dispatches the request to the service, and settles or releases the
 * claim. The keepers are modelled as one atomic register, which is what the
 * replicated log provides. Replies of the keepers may be lost, hosts may crash
 * at every point, and the response of the service may be lost.
 *
 * Checked: the service runs the request at most once, and the request of a call
 * that was answered "not run" has not run and never will.
 *
 * -DRELEASE_UNSURE: a call whose response was lost releases its claim. Must fail.
 * -DDISPATCH_UNSURE: a call without a reply to its claim is dispatched. Must fail.
 */
#define CALLS 3

mtype = { FREE, IN_PROGRESS, SETTLED, UNKNOWN };
mtype = { REPLY_NONE, REPLY_RESPONSE, REPLY_NOT_RUN, REPLY_UNKNOWN };

mtype claim = FREE;
byte holder; /* the call that holds the claim, plus one */
byte runs;
bool ran[CALLS];
mtype reply[CALLS]; /* the reply to each caller */

inline check() {
    assert(runs <= 1);
    assert(!(reply[0] == REPLY_NOT_RUN && ran[0]));
    assert(!(reply[1] == REPLY_NOT_RUN && ran[1]));
    assert(!(reply[2] == REPLY_NOT_RUN && ran[2]))
}

proctype Call(byte self) {
    bool granted = false;
    bool sent = false;

    /* Claim. If the reply is lost, the claim is sent again or the call is abandoned. */
send_claim:
    atomic {
        if
        :: claim == FREE -> claim = IN_PROGRESS; holder = self + 1; granted = true
        :: claim == IN_PROGRESS && holder == self + 1 -> granted = true
        :: claim == IN_PROGRESS && holder != self + 1 -> reply[self] = REPLY_UNKNOWN; goto done
        :: claim == SETTLED -> reply[self] = REPLY_RESPONSE; goto done
        :: claim == UNKNOWN -> reply[self] = REPLY_UNKNOWN; goto done
        fi
    }
    if
    :: goto dispatch                /* the reply arrived */
    :: goto send_claim              /* the reply was lost */
    :: goto abandon                 /* the reply was lost, and the keepers are unreachable */
    :: goto done                    /* the host crashes */
    fi;

abandon:
#ifdef DISPATCH_UNSURE
    granted = false;
    atomic { if :: holder == self + 1 -> claim = FREE; holder = 0 :: else fi };
    goto dispatch;
#endif
    atomic { reply[self] = REPLY_NOT_RUN; check() };
    goto release;

dispatch:
    if
    :: goto done                    /* the host crashes */
    :: atomic { reply[self] = REPLY_NOT_RUN; check() }; goto release /* connection failed: nothing was sent */
    :: atomic { sent = true; runs++; ran[self] = true; check() }
    fi;
    if
    :: goto done                    /* the host crashes */
    :: atomic {                     /* the response arrived */
        if
        :: claim == IN_PROGRESS && holder == self + 1 -> claim = SETTLED
        :: else
        fi;
        reply[self] = REPLY_RESPONSE
       };
       goto done
    :: skip                         /* the response was lost */
    fi;
#ifdef RELEASE_UNSURE
    goto release;
#endif
    atomic {
        if
        :: claim == IN_PROGRESS && holder == self + 1 -> claim = UNKNOWN
        :: else
        fi;
        reply[self] = REPLY_UNKNOWN
    };
    goto done;

release:
    if
    :: goto done                    /* the host crashes before the release */
    :: atomic {
        if
        :: claim == IN_PROGRESS && holder == self + 1 -> claim = FREE; holder = 0
        :: else
        fi
       }
    fi;
done:
    atomic { check() }
}

init {
    atomic {
        reply[0] = REPLY_NONE; reply[1] = REPLY_NONE; reply[2] = REPLY_NONE;
        run Call(0); run Call(1); run Call(2)
    }
}
