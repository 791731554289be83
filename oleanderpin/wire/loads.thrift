namespace py oleanderpin.wire.generated.loads

/** Requests at the targets of a service in one region. */
struct RegionLoad {
  1: string service_name,
  2: string region,
  3: double in_flight,
}

/** What a target said of its limit, and how long ago. */
struct TargetLimit {
  1: string target_id,
  /** Requests a second from all gateways together; 0 when it named none. */
  2: double limit_per_s,
  3: i32 age_ms,
}

/** A target that said in an answer that it leaves, and how long ago. */
struct LeavingTarget {
  1: string target_id,
  2: string address,
  /** Generation of its announcements; 0 if it sends none. */
  3: i64 generation,
  4: i32 age_ms,
}

/** The end of a target while it ran a request. */
struct Crash {
  /** The same wherever the crash is known. */
  1: i64 crash_id,
  2: i32 started_age_ms,
  3: i32 ended_age_ms,
  /** Below 100 if many other requests were lost at the same time. */
  4: i16 weight_percent,
}

/** A request that may crash the targets that run it. */
struct CrashSuspect {
  1: binary fingerprint,
  2: list<Crash> crashes,
  /** Time since a target has answered it; unset if none has. */
  3: optional i32 answered_age_ms,
}

/** Suspects that are new since the version that the other side was told. */
struct CrashSuspects {
  1: list<CrashSuspect> suspects,
  2: i64 version,
}

/** What one gateway has sent; the mean since its last report. */
struct LoadReport {
  1: string instance,
  2: list<RegionLoad> loads,
  /** Failure domain of the gateway. */
  3: optional string failure_domain,
  /** Fraction of its link that the gateway uses in the busier direction. */
  4: optional double link_load,
  /** Limits that the gateway has learnt from targets since its last report. */
  5: optional list<TargetLimit> limits,
  /** Version of the limits that the last reply told. */
  6: optional i64 limits_version,
  /** Targets that have said to the gateway since its last report that they leave. */
  7: optional list<LeavingTarget> leaving,
  /** Version of the leaving targets that the last reply told. */
  8: optional i64 leaving_version,
  /** Suspects that the gateway has not reported yet, and the told version. */
  9: optional CrashSuspects suspects,
}

/** Mean over the gateways of a failure domain that have reported lately. */
struct DomainLoad {
  1: string failure_domain,
  2: i32 reporters,
  3: double link_load,
}

/** Sums over all gateways that have reported lately. */
struct LoadSums {
  1: i32 reporters,
  2: list<RegionLoad> loads,
  /** Limits that have changed since the version in the report. */
  3: optional list<TargetLimit> limits,
  4: optional i64 limits_version,
  /** Leaving targets that are new since the version in the report. */
  5: optional list<LeavingTarget> leaving,
  6: optional i64 leaving_version,
  7: optional CrashSuspects suspects,
}

service Loads {
  LoadSums report(1: LoadReport report),
  list<DomainLoad> domains(),
  /** Exchanges suspects between two reports. */
  CrashSuspects exchange_suspects(1: CrashSuspects suspects),
}
