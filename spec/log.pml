/* The replicated log (Raft): elections, replication, loss of a disk, membership changes.
 *
 * Replica 3 is the new incarnation of replica 2: when the disk of 2 is lost, 2
 * never runs again and 3 starts with an empty log, as a learner. A message and
 * its reply are one step: a delayed message is a step that is taken later, and
 * a lost one is a step that is not taken. A replica syncs its state to disk
 * before it sends anything that depends on it.
 *
 * Checked: no two different entries are committed at one index, and every
 * leader has all entries that were committed before its election.
 *
 * -DAMNESIA: the replica that lost its disk keeps its identity and votes. Must fail.
 * -DEARLY_CHANGE: a membership change starts before the previous one is committed. Must fail.
 */
#define N 4
#ifndef MAX_TERM
#define MAX_TERM 2
#endif
#ifndef MAX_LEN
#define MAX_LEN 3
#endif
#define FIRST_MEMBERS 7 /* 0, 1 and 2 */

#define HAS(mask, i) (((mask) >> (i)) & 1)
#define COUNT(mask) (HAS(mask, 0) + HAS(mask, 1) + HAS(mask, 2) + HAS(mask, 3))
#define IS_QUORUM(votes, members) (2 * COUNT((votes) & (members)) > COUNT(members))

typedef Log {
    byte length;
    byte term[MAX_LEN];
    byte members[MAX_LEN]; /* 0: not a membership change */
}

Log logs[N];
byte term[N];
byte voted_for[N]; /* vote in the current term, plus one; 0: none */
byte votes[N];     /* bit mask of the votes for this candidate; 0: no candidate */
bool leads[N];
bool is_stopped[N];
byte matched[N * N]; /* [leader * N + follower] */
byte committed[N];   /* commit index that a leader reached in its term */

/* Entries that were ever committed, for the assertions. */
byte committed_term[MAX_LEN];
byte committed_members[MAX_LEN];
byte committed_length;
bool disk_lost;

/* The latest configuration in the log of replica i, committed or not. */
inline latest_members(i, result) {
    result = FIRST_MEMBERS;
    k = 0;
    do
    :: k < logs[i].length ->
        if
        :: logs[i].members[k] != 0 -> result = logs[i].members[k]
        :: else
        fi;
        k++
    :: else -> break
    od
}

/* Whether the latest membership change in the log of leader i is committed. */
inline change_is_committed(i, result) {
    result = true;
    k = 0;
    do
    :: k < logs[i].length ->
        if
        :: logs[i].members[k] != 0 && k >= committed[i] -> result = false
        :: else
        fi;
        k++
    :: else -> break
    od
}

#define LAST_TERM(i) (logs[i].length == 0 -> 0 : logs[i].term[logs[i].length - 1])
#define UP_TO_DATE(i, j) \
    (LAST_TERM(i) > LAST_TERM(j) || (LAST_TERM(i) == LAST_TERM(j) && logs[i].length >= logs[j].length))

inline adopt_term(i, new_term) {
    if
    :: term[i] < new_term ->
        term[i] = new_term;
        voted_for[i] = 0;
        votes[i] = 0;
        leads[i] = false;
        committed[i] = 0
    :: else
    fi
}

inline start_election(i) {
    latest_members(i, members);
    if
    :: HAS(members, i) && term[i] < MAX_TERM ->
        adopt_term(i, term[i] + 1);
        voted_for[i] = i + 1;
        votes[i] = 1 << i
    :: else
    fi
}

/* Candidate i requests the vote of j; with a majority it becomes leader. */
inline request_vote(i, j) {
    if
    :: votes[i] != 0 && !leads[i] && term[j] <= term[i] && UP_TO_DATE(i, j) ->
        adopt_term(j, term[i]);
        if
        :: voted_for[j] == 0 || voted_for[j] == i + 1 ->
            voted_for[j] = i + 1;
            votes[i] = votes[i] | (1 << j)
        :: else
        fi
    :: else
    fi;
    latest_members(i, members);
    if
    :: votes[i] != 0 && !leads[i] && IS_QUORUM(votes[i], members) ->
        leads[i] = true;
        k = 0;
        do
        :: k < N -> matched[i * N + k] = 0; k++
        :: else -> break
        od;
        matched[i * N + i] = logs[i].length;
        check_leader(i)
    :: else
    fi
}

/* Leader completeness: a new leader has all committed entries. */
inline check_leader(i) {
    k = 0;
    do
    :: k < committed_length ->
        assert(k < logs[i].length);
        assert(logs[i].term[k] == committed_term[k]);
        assert(logs[i].members[k] == committed_members[k]);
        k++
    :: else -> break
    od
}

inline append_entry(i, entry_members) {
    if
    :: logs[i].length < MAX_LEN ->
        logs[i].term[logs[i].length] = term[i];
        logs[i].members[logs[i].length] = entry_members;
        logs[i].length++;
        matched[i * N + i] = logs[i].length
    :: else
    fi
}

/* One membership change at a time: first 2 is removed, then 3 is added. */
inline change_members(i) {
    latest_members(i, members);
    change_is_committed(i, may_change);
#ifdef EARLY_CHANGE
    may_change = true;
#else
    may_change = may_change && committed[i] > 0;
#endif
    if
    :: may_change && is_stopped[2] && HAS(members, 2) -> append_entry(i, members & ~4)
    :: may_change && is_stopped[2] && !HAS(members, 2) && !HAS(members, 3) && matched[i * N + 3] >= committed[i] ->
        append_entry(i, members | 8)
#ifdef EARLY_CHANGE
    :: may_change && !is_stopped[2] && members == 7 -> append_entry(i, 3)
    :: may_change && !is_stopped[2] && members == 7 -> append_entry(i, 15)
    :: may_change && members == 15 -> append_entry(i, 12)
#endif
    :: else
    fi
}

/* Leader i replaces the log of j by its own. */
inline replicate(i, j) {
    if
    :: leads[i] && term[j] <= term[i] ->
        adopt_term(j, term[i]);
        assert(!leads[j]);
        votes[j] = 0; /* a candidate steps down when its term has a leader */
        k = 0;
        do
        :: k < MAX_LEN ->
            logs[j].term[k] = logs[i].term[k];
            logs[j].members[k] = logs[i].members[k];
            k++
        :: else -> break
        od;
        logs[j].length = logs[i].length;
        matched[i * N + j] = logs[i].length
    :: else
    fi
}

/* Leader i commits its log once a majority has it and its last entry is of the leader's term. */
inline commit(i) {
    latest_members(i, members);
    if
    :: leads[i] && logs[i].length > committed[i] && LAST_TERM(i) == term[i] ->
        replicated = 0;
        k = 0;
        do
        :: k < N ->
            if
            :: matched[i * N + k] == logs[i].length -> replicated = replicated | (1 << k)
            :: else
            fi;
            k++
        :: else -> break
        od;
        if
        :: IS_QUORUM(replicated, members) ->
            k = 0;
            do
            :: k < logs[i].length ->
                if
                :: k < committed_length ->
                    assert(committed_term[k] == logs[i].term[k]);
                    assert(committed_members[k] == logs[i].members[k])
                :: else ->
                    committed_term[k] = logs[i].term[k];
                    committed_members[k] = logs[i].members[k];
                    committed_length = k + 1
                fi;
                k++
            :: else -> break
            od;
            committed[i] = logs[i].length
        :: else
        fi
    :: else
    fi
}

inline restart(i) {
    leads[i] = false;
    votes[i] = 0;
    committed[i] = 0
}

inline lose_disk() {
    disk_lost = true;
    restart(2);
    term[2] = 0;
    voted_for[2] = 0;
    k = 0;
    do
    :: k < MAX_LEN -> logs[2].term[k] = 0; logs[2].members[k] = 0; k++
    :: else -> break
    od;
    logs[2].length = 0;
#ifndef AMNESIA
    is_stopped[2] = true;
    is_stopped[3] = false
#endif
}

init {
    byte i;
    byte j;
    byte k;
    byte members;
    byte replicated;
    bool may_change;
    is_stopped[3] = true;
    do
    :: atomic {
        if
        :: i = 0 :: i = 1 :: i = 2 :: i = 3
        fi;
        if
        :: j = 0 :: j = 1 :: j = 2 :: j = 3
        fi;
        if
        :: !is_stopped[i] ->
            if
            :: start_election(i)
            :: i != j && !is_stopped[j] -> request_vote(i, j)
            :: i != j && !is_stopped[j] -> replicate(i, j)
            :: leads[i] -> append_entry(i, 0)
            :: leads[i] -> change_members(i)
            :: leads[i] -> commit(i)
            :: leads[i] -> restart(i)
            :: i == 2 && !disk_lost -> lose_disk()
            fi
        :: else
        fi;
        i = 0; j = 0; k = 0; members = 0; replicated = 0; may_change = false
        }
    od
}
