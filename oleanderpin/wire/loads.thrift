namespace py oleanderpin.wire.generated.loads

/** Requests at the targets of a service in one region. */
struct RegionLoad {
  1: string service_name,
  2: string region,
  3: double in_flight,
}

/** What one gateway has sent; the mean since its last report. */
struct LoadReport {
  1: string instance,
  2: list<RegionLoad> loads,
  /** Failure domain of the gateway. */
  3: optional string failure_domain,
  /** Fraction of its link that the gateway uses in the busier direction. */
  4: optional double link_load,
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
}

service Loads {
  LoadSums report(1: LoadReport report),
  list<DomainLoad> domains(),
}
