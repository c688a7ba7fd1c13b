# Settings of an installation that reads its endpoints from Consul. Do not use them on the platform, where endpoints
# come from discovery. Check them with: orchidyoke check --settings deploy/consul.star

partners = {
    "refunds": 7,
    "pickups": 8,
}

def follow(name):
    return service(
        name = name,
        destination = partners[name],
        kind = "one",
        zone = "a",
        zone_meta = "zone",
        capacity = 20.0,
    )

consul(
    addresses = ["127.0.0.1:8500"],
    networks = ["127.0.0.0/8"],
    services = [follow(name) for name in partners],
    wait = "30s",
)
