namespace py oleanderpin.wire.generated.common

/** The request needs the control leader; empty address when unknown. */
exception NotLeader {
  1: string leader_address,
}

/** No majority can be reached; maybe_applied tells whether to ask again. */
exception Unavailable {
  1: string problem,
  2: bool maybe_applied,
}
