namespace py oleanderpin.wire.generated.membership

/** What an instance tells about itself. */
struct PeerInfo {
  1: string name,
  2: string region,
  3: string failure_domain,
  4: string site,
  5: string caller_address,
  6: string admin_address,
  7: string peer_address,
  /** Set anew at each start, higher than before; raised to refute. */
  8: i64 incarnation,
  9: list<string> roles,
  10: bool draining,
}

/** What one instance believes about another. */
struct MemberUpdate {
  1: string name,
  2: i64 incarnation,
  /** 0 alive, 1 suspect, 2 dead, 3 left; the higher one wins in a tie. */
  3: i8 status,
  /** Sent with alive; the others need only name and incarnation. */
  4: optional PeerInfo info,
}

/** One UDP datagram. */
struct GossipMessage {
  /** 0 ping, 1 ack, 2 ping request, 3 notice without an answer. */
  1: i8 kind,
  2: i32 sequence,
  3: string sender,
  4: i64 sender_incarnation,
  /** Address to be pinged on behalf of the sender. */
  5: optional string subject_address,
  /** Encoded MemberUpdate each, so that their size is known in advance. */
  6: list<binary> updates,
  /** The sender of this message does not know its receiver. */
  7: optional bool wants_info,
  /** Revision of the sender's copy of the control state. */
  8: optional i64 revision,
}

struct PingReply {
  1: PeerInfo info,
}

service Membership {
  /** Probe over TCP, for paths on which datagrams are lost. */
  PingReply ping(1: PeerInfo sender),
  /** Returns all members that the callee knows. */
  list<MemberUpdate> join(1: PeerInfo sender),
}
