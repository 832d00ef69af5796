/*
 * Moves the run of a stream from a backend server that leaves, or has turned
 * slow, to another one. The servers copy the run's memory between them, so it
 * goes on as the same run and needs no reading of the prompt.
 *
 * Load that it answers: a server leaves with many streams, some of which end
 * while it stays and some of which do not; a server of many turns several times
 * slower, and some of its streams will miss their deadlines. Only these are
 * moved; each move costs a pause and takes memory and a slot at its
 * destination.
 *
 * The state machine of one run, at the node that holds its caller. Until the
 * run is told to stop, giving up costs nothing: it goes on where it is. After
 * that it is resumed at the destination, else at the source, and never before
 * its old stream has ended or the source has confirmed the stop.
 *
 * The module does no I/O.
 */

#ifndef RUN_MOVE_H
#define RUN_MOVE_H

#include "savory.h"

/* Time that the source needs to stop a run, and the node to resume it. */
#define RUN_MOVE_STOP_MS 300
/* The source confirms a stop within this time, beside the copy's own time. */
#define RUN_MOVE_STOP_TIMEOUT_MS 1000
/*
 * After a stop that was not confirmed: the old stream ends within this time if
 * the run did stop.
 */
#define RUN_MOVE_CLOSE_MS 400
/* A server is slow if its ms an event are at least this many times the usual.
 */
#define RUN_MOVE_SLOW_TIMES 1.5
/* A destination is found by then. */
#define RUN_MOVE_PLACE_TIMEOUT_MS 500

/* What a node knows of a running stream; spans in ms, MSEC_NEVER: not known. */
struct run_move_view {
	bool leaving;	/* its server takes no more work and will end */
	msec leaves_at; /* when the server ends at the earliest */
	msec
	    sends_until; /* time until which it may be sent requests; 0: none */
	msec rest;	 /* expected time until the stream ends */
	msec copy;	 /* expected time to copy the run's memory */
	msec deadline;	 /* when the caller stops waiting */
};

/* Result of run_move_choose(). */
enum run_move_choice {
	RUN_MOVE_STAY,	/* never, as things are */
	RUN_MOVE_LATER, /* look again at the time returned */
	RUN_MOVE_NOW
};

/*
 * Time before the server's end at which a move must have begun, for a copy that
 * takes so many ms.
 */
msec run_move_window(msec copy);
/*
 * Whether the run is to be moved. `*again` is set with RUN_MOVE_LATER: the last
 * moment at which a move that begins is sure to end in time.
 */
enum run_move_choice
run_move_choose(const struct run_move_view *, msec now, msec *again);

/*
 * What a node knows of a stream that may be too slow. Paces in ms an event, 0:
 * not known.
 */
struct run_move_pace {
	double pace;	   /* of the stream (run_pace_kept()) */
	double usual;	   /* of others (run_paces_usual()) */
	uint64_t made;	   /* events so far */
	uint64_t expected; /* events in all, an estimate; 0: not told */
	uint64_t most;	   /* limit of events in all; 0: not told */
	msec mean;	   /* of streams of its kind; MSEC_NEVER: not known */
	msec copy;	   /* expected time to copy the run's memory */
	msec deadline;	   /* when the caller stops waiting */
	unsigned int running; /* open requests of the node, of all kinds */
	unsigned int moving;  /* of them, moved for this cause now */
};
/*
 * Whether the run is to be moved as its server is slow: its caller's time would
 * end first, and would not at another server.
 */
bool run_move_choose_slow(const struct run_move_pace *, msec now);
/* For run_move_begin(), of a run whose server is slow but stays. */
struct run_move_view run_move_slow_view(const struct run_move_pace *, msec now);

/* Where a move stands. */
enum run_move_state {
	RUN_MOVE_IDLE,
	RUN_MOVE_PLACING,  /* waits for a destination */
	RUN_MOVE_COPYING,  /* the run goes on at the source */
	RUN_MOVE_STOPPING, /* the source was told to stop it */
	RUN_MOVE_UNSURE,   /* it did not confirm; the stream has not ended */
	RUN_MOVE_RESUMING, /* sent to the destination */
	RUN_MOVE_RETURNING /* sent to the source, which keeps its memory */
};

/* What the embedder does next. */
enum run_move_step {
	RUN_MOVE_WAIT,
	RUN_MOVE_COPY,	  /* ask the source to copy */
	RUN_MOVE_STOP,	  /* ask the source to stop the run and copy the rest */
	RUN_MOVE_RESUME,  /* send the request to the destination */
	RUN_MOVE_RETURN,  /* send it to the source */
	RUN_MOVE_GIVE_UP, /* the run is where it was; free the copy */
	RUN_MOVE_LOST	  /* it runs nowhere: handle it as a broken stream */
};

/* The source's answer to a request to copy or to stop. */
enum run_move_answer {
	RUN_MOVE_COPIED,
	RUN_MOVE_NO_RUN,  /* it runs no such request */
	RUN_MOVE_BUSY,	  /* an earlier request is in progress */
	RUN_MOVE_NO_ROOM, /* the destination has none, or is not reached */
	RUN_MOVE_NO_ANSWER
};

/* Why a run was not moved. */
enum run_move_reason {
	RUN_MOVE_REASON_NONE,
	RUN_MOVE_REASON_NO_SERVER, /* no destination */
	RUN_MOVE_REASON_NO_BUDGET,
	RUN_MOVE_REASON_NO_RUN,
	RUN_MOVE_REASON_BUSY,
	RUN_MOVE_REASON_NO_ROOM,
	RUN_MOVE_REASON_NO_ANSWER,
	RUN_MOVE_REASON_REFUSED, /* both servers refused to resume it */
	RUN_MOVE_REASON_ENDED, /* the attempt ended, broke off or was cancelled
				*/
	RUN_MOVE_REASONS
};
/* Name of a reason for logs and metrics. */
const char *run_move_reason_name(enum run_move_reason);

/* The state of one move. Allocated by the caller; zero is RUN_MOVE_IDLE. */
struct run_move {
	enum run_move_state state;
	enum run_move_reason reason; /* of RUN_MOVE_GIVE_UP or RUN_MOVE_LOST */
	msec due; /* call run_move_tick() then; MSEC_NEVER: not needed */
	msec leaves_at;
	msec sends_until;
	msec copy;
	bool broke;   /* the old stream has ended without its end */
	bool stopped; /* the source confirmed the stop */
};

/* A destination is looked for. */
void run_move_begin(struct run_move *, msec, const struct run_move_view *);
/* A destination was found, or none. */
enum run_move_step run_move_placed(struct run_move *, msec, bool found);
/*
 * An answer of the source. `handle`: this or an earlier answer named the copy.
 * `budget`: the request may be sent once more.
 */
enum run_move_step run_move_answered(
    struct run_move *, msec, enum run_move_answer, bool handle, bool budget);
/* An event of the old stream has arrived. */
enum run_move_step run_move_heard(struct run_move *);
/*
 * The old stream broke off. RUN_MOVE_LOST: the source had not been told to stop
 * it, so it broke for another reason; the move is over.
 */
enum run_move_step run_move_broke(struct run_move *);
/* The server that was to resume the run did not execute the request. */
enum run_move_step run_move_refused(struct run_move *, msec, bool budget);
/* `due` has come. */
enum run_move_step run_move_tick(struct run_move *, msec);
/* Returns true from the request to stop until the run is resumed. */
bool run_move_is_stopping(const struct run_move *);
/* The request was sent to go on, and its server has not answered yet. */
bool run_move_is_resuming(const struct run_move *);

#endif /* RUN_MOVE_H */
